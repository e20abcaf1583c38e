package org.buckthornhub.failover

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Effects that [FailoverDecider] requests from its task. */
public sealed interface FailoverEffect {
    /** Requests the status of [target]; the answer arrives as [FailoverMessage.Surveyed]. */
    public data class Survey(
        val group: GroupId,
        val target: TargetId,
    ) : FailoverEffect

    /** Orders [target] to lead [group] after [delayMillis]; the result arrives as [FailoverMessage.Ordered]. */
    public data class Promote(
        val group: GroupId,
        val target: TargetId,
        val delayMillis: Long,
    ) : FailoverEffect

    /** Logs [event] and its [reason]. */
    public data class Note(
        val group: GroupId,
        val event: String,
        val reason: String,
    ) : FailoverEffect
}
