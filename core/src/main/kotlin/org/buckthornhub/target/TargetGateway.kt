package org.buckthornhub.target

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer

/** Runs calls on targets, whichever daemon owns them. Drivers for other kinds of databases are added below this interface. */
public fun interface TargetGateway {
    /** Returns the complete answer, or an error whose kind states correctly whether the statement ran or may have run. */
    public suspend fun execute(call: TargetCall): Result<Answer, ProxyError>
}
