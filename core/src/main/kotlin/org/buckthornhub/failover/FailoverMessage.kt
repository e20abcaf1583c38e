package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** What the replacement of primaries is told. */
public sealed interface FailoverMessage {
    /**
     * Looks at every group.
     *
     * @property unreachable primaries that most daemons can't reach
     * @property listeningSinceMillis since when instances could announce themselves here (local monotonic ms)
     */
    public data class Review(
        val records: Collection<InstanceRecord>,
        val unreachable: Set<TargetId>,
        val listeningSinceMillis: Long,
    ) : FailoverMessage

    /** @property status null if [target] gave none */
    public data class Surveyed(
        val group: GroupId,
        val target: TargetId,
        val status: InstanceStatus?,
    ) : FailoverMessage

    public data class Ordered(
        val group: GroupId,
        val target: TargetId,
        val outcome: PromotionOutcome,
    ) : FailoverMessage
}
