package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
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
