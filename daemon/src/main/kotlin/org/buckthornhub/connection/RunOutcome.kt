package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.target.TargetId

/** Outcome of sending a statement to one target. */
internal sealed interface RunOutcome {
    /** @property lease the connection that served it; already released or about to be */
    data class Done(
        val reply: TargetReply.Completed,
        val lease: TargetLease,
    ) : RunOutcome

    /** The target gave no answer, or refused the statement. */
    sealed interface Failed : RunOutcome {
        val error: ProxyError
    }

    /** No connection could be acquired, so nothing was sent. */
    data class NoTarget(override val error: ProxyError) : Failed

    /** Failed without a further attempt. */
    data class Final(override val error: ProxyError) : Failed

    /** May be retried; [tried] is excluded from the next attempt. */
    data class Retry(
        val tried: TargetId?,
        override val error: ProxyError,
    ) : Failed
}
