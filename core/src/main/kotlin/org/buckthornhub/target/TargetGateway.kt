package org.buckthornhub.target

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer

/** The way to targets, wherever their owner is; a driver for another kind of database plugs in below it. */
public fun interface TargetGateway {
    /** Answers the whole result, or an error that says truthfully whether the statement ran. */
    public suspend fun execute(call: TargetCall): Result<Answer, ProxyError>
}
