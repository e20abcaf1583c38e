package org.buckthornhub.failover

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** What the replacement of primaries wants done. */
public sealed interface FailoverEffect {
    public data class Survey(
        val group: GroupId,
        val target: TargetId,
    ) : FailoverEffect

    /** After [delayMillis], order that [target] leads [group]. */
    public data class Promote(
        val group: GroupId,
        val target: TargetId,
        val delayMillis: Long,
    ) : FailoverEffect

    /** For the log: what changed and why. */
    public data class Note(
        val group: GroupId,
        val event: String,
        val reason: String,
    ) : FailoverEffect
}
