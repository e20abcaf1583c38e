package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.TargetLease
import org.buckthornhub.target.TargetId

/** What came of sending work to one target. */
internal sealed interface RunOutcome {
    /** @property lease the connection that served it, given back or about to be */
    data class Done(
        val reply: TargetReply.Completed,
        val lease: TargetLease,
    ) : RunOutcome

    /** There is no answer. */
    sealed interface Failed : RunOutcome {
        val error: ProxyError
    }

    /** No target was found to offer the work to, so nothing was sent. */
    data class NoTarget(override val error: ProxyError) : Failed

    /** Nothing more is tried. */
    data class Final(override val error: ProxyError) : Failed

    /** Another target may do it; [tried] is left out then. */
    data class Again(
        val tried: TargetId?,
        override val error: ProxyError,
    ) : Failed
}
