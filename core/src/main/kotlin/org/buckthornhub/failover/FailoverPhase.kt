package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/** Phase of the failover of one group. */
public sealed interface FailoverPhase {
    /** No failover is in progress. */
    public data object Watching : FailoverPhase

    /**
     * Waits for the positions of [candidates]; those without an answer by [deadlineMillis] are ignored.
     *
     * @property replaced the primary that is replaced; null if none is known, or more than one instance claims to be it
     * @property designation number of the newest designation of the group
     */
    public data class Surveying(
        val candidates: Set<TargetId>,
        val answers: PersistentMap<TargetId, InstanceStatus> = persistentMapOf(),
        val deadlineMillis: Long,
        val reason: String,
        val replaced: TargetId? = null,
        val designation: Long = 0,
    ) : FailoverPhase

    /**
     * Waits for the positions of [holders], replicas that may be the only ones with an acknowledged commit; [needed] answers
     * include one that has received it.
     *
     * The first round finds out whether enough of them answer. The second one, in which they receive no more commits, decides:
     * without it, the old primary could go on acknowledging commits that the chosen instance lacks.
     *
     * @property round number of the round; answers to earlier ones say what a replica had received before it was resumed
     * @property pauseIn term for which the holders are paused in the second round; null in the first
     * @property silent holders that gave no answer in this round
     * @property leaving instances that are shutting down
     * @property mayPromoteLeaving whether an instance that is shutting down may lead, as the group has no primary that can be reached
     * @property replaced see [Surveying]
     * @property designation see [Surveying]
     */
    public data class Locating(
        val holders: Set<TargetId>,
        val needed: Int,
        val deadlineMillis: Long,
        val reason: String,
        val round: Long,
        val pauseIn: Term? = null,
        val answers: PersistentMap<TargetId, InstanceStatus> = persistentMapOf(),
        val silent: Set<TargetId> = emptySet(),
        val leaving: Set<TargetId> = emptySet(),
        val mayPromoteLeaving: Boolean = false,
        val replaced: TargetId? = null,
        val designation: Long = 0,
    ) : FailoverPhase

    /**
     * Waits until the control quorum has committed that only [target] may lead.
     *
     * @property replaced see [Surveying]
     * @property isReplacedStopped whether [replaced] has already given up its role
     */
    public data class Designating(
        val target: TargetId,
        val reason: String,
        val replaced: TargetId? = null,
        val isReplacedStopped: Boolean = false,
    ) : FailoverPhase

    /**
     * Waits until no daemon can use the old primary any more, or [replaced] has given up its role.
     *
     * @property revision revision of the designations that each daemon must know, or else have lost its lease
     */
    public data class Fencing(
        val target: TargetId,
        val revision: Long,
        val reason: String,
        val replaced: TargetId? = null,
    ) : FailoverPhase

    /**
     * Waits for the answer of [target] to its promotion order, which is repeated until the outcome is known.
     *
     * @property order see [FailoverEffect.Promote]
     */
    public data class Promoting(
        val target: TargetId,
        val reason: String,
        val order: Int = 0,
    ) : FailoverPhase

    /** Waits until the promoted [target] announces itself as the primary, but no longer than [untilMillis]. */
    public data class Settling(
        val target: TargetId,
        val untilMillis: Long,
    ) : FailoverPhase
}
