package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.target.TargetId

/** Messages handled by [FailoverDecider]. */
public sealed interface FailoverMessage {
    /**
     * Checks every group for a primary that has to be replaced.
     *
     * @property records instances in the directory
     * @property unreachable primaries that most daemons can't reach
     * @property designations primaries that the control quorum has designated
     * @property fencedRevision newest revision of the designations that is obeyed by every daemon with a lease for primaries
     * @property listeningSinceMillis time from which this VM has received announcements of instances (local monotonic ms)
     * @property syncReplicas number of replicas that have received each acknowledged commit, by group; 0 for a missing group
     */
    public data class Review(
        val records: Collection<InstanceRecord>,
        val unreachable: Set<TargetId>,
        val listeningSinceMillis: Long,
        val designations: PrimaryDesignations = PrimaryDesignations(),
        val fencedRevision: Long = 0,
        val syncReplicas: Map<GroupId, Int> = emptyMap(),
    ) : FailoverMessage

    /** Answer of [target] to a survey; [status] is null if it gave none in time. */
    public data class Surveyed(
        val group: GroupId,
        val target: TargetId,
        val status: InstanceStatus?,
    ) : FailoverMessage

    /** Answer of [target] to [FailoverEffect.SurveyHolder] of [round]; [status] is null if it gave none in time. */
    public data class HolderAnswered(
        val group: GroupId,
        val target: TargetId,
        val round: Long,
        val status: InstanceStatus?,
    ) : FailoverMessage

    /** Result of [FailoverEffect.Resume]. */
    public data class Resumed(
        val target: TargetId,
        val isDone: Boolean,
    ) : FailoverMessage

    /** Result of [FailoverEffect.Designate]; [designations] is null if the change was not committed. */
    public data class Designated(
        val group: GroupId,
        val target: TargetId,
        val designations: PrimaryDesignations?,
    ) : FailoverMessage

    /** [target], a primary of [group], has given up its role. */
    public data class PrimaryStopped(
        val group: GroupId,
        val target: TargetId,
    ) : FailoverMessage

    /** Result of the order that [target] leads [group]. */
    public data class PromotionAttempted(
        val group: GroupId,
        val target: TargetId,
        val outcome: PromotionOutcome,
    ) : FailoverMessage
}
