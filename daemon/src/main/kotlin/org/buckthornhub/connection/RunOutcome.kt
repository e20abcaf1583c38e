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

    /** No target was found to offer the work to, so nothing was sent. */
    data class NoTarget(val error: ProxyError) : RunOutcome

    /** Nothing more is tried. */
    data class Final(val error: ProxyError) : RunOutcome

    /** Another target may do it; [tried] is left out then. */
    data class Again(
        val tried: TargetId?,
        val error: ProxyError,
    ) : RunOutcome
}
