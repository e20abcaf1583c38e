package org.buckthornhub.instancepool

import com.github.michaelbull.result.Result
import org.buckthornhub.connection.TargetLinkFailure
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.instancepool.load.StatementOutcome

/** A statement, what the link returns for it, and the outcome that is sampled; null if none is. */
internal data class StatementTimerCase(
    val name: String,
    val statement: TargetStatement,
    val result: Result<TargetReply, TargetLinkFailure>,
    val outcome: StatementOutcome?,
) {
    override fun toString(): String = name
}
