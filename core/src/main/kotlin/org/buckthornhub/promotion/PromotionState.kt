package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.GrantTable
import org.buckthornhub.target.TargetId

/**
 * State of leases and promotions on a control VM. All but [leaderships] and [endedControlTerm] is reset when the control
 * leader changes.
 *
 * @property endedControlTerm last control term that this VM led and no longer leads; it can't lead the same term again
 * @property grants leases that this control leader has granted
 * @property targets last report of each target
 * @property lastRenewalMillis when each daemon last renewed its leases
 * @property promotions changes of the primary in progress
 * @property confirmedTerms term in which the primary of each group has confirmed that it leads
 * @property followOrderMillis when each target was last ordered to follow
 * @property switchoverRetryMillis when an abandoned switchover may be attempted again
 */
public data class PromotionState(
    val control: ControlLeadership = ControlLeadership(),
    val endedControlTerm: Long = -1,
    val leaderships: PersistentMap<GroupId, GroupLeadership> = persistentMapOf(),
    val grants: GrantTable = GrantTable(),
    val targets: PersistentMap<TargetId, ReportedTarget> = persistentMapOf(),
    val lastRenewalMillis: PersistentMap<VmId, Long> = persistentMapOf(),
    val promotions: PersistentMap<GroupId, Promotion> = persistentMapOf(),
    val confirmedTerms: PersistentMap<GroupId, Term> = persistentMapOf(),
    val followOrderMillis: PersistentMap<TargetId, Long> = persistentMapOf(),
    val switchoverRetryMillis: PersistentMap<GroupId, Long> = persistentMapOf(),
) {
    /** Returns the reported instances of [group]. */
    public fun instancesOf(group: GroupId): List<ReportedTarget> = targets.values.filter { it.report.group == group }

    /** True if a lease of [group] in [term] may be granted: the term is committed, its primary leads, and no promotion is in progress. */
    public fun isLeaseGrantable(group: GroupId, term: Term): Boolean =
        group !in promotions && leaderships[group]?.term == term && confirmedTerms[group] == term

    internal fun with(promotion: Promotion): PromotionState = copy(promotions = promotions.put(promotion.group, promotion))

    internal fun without(group: GroupId): PromotionState = copy(promotions = promotions.remove(group))
}
