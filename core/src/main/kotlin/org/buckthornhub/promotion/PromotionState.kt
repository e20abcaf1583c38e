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
 * What a control leader knows of groups; all but [leaderships] and [endedTerm] starts anew with each control leader.
 *
 * @property endedTerm last control term in which this VM led and leads no more; nobody leads twice in one term
 * @property ownersMillis when each daemon was last heard of
 * @property confirmed term in which the primary of each group is known to lead
 * @property followMillis when each target was last ordered to follow
 * @property plannedMillis when a planned change that was given up may be tried again
 */
public data class PromotionState(
    val control: ControlLeadership = ControlLeadership(),
    val endedTerm: Long = -1,
    val leaderships: PersistentMap<GroupId, GroupLeadership> = persistentMapOf(),
    val grants: GrantTable = GrantTable(),
    val targets: PersistentMap<TargetId, KnownTarget> = persistentMapOf(),
    val ownersMillis: PersistentMap<VmId, Long> = persistentMapOf(),
    val promotions: PersistentMap<GroupId, Promotion> = persistentMapOf(),
    val confirmed: PersistentMap<GroupId, Term> = persistentMapOf(),
    val followMillis: PersistentMap<TargetId, Long> = persistentMapOf(),
    val plannedMillis: PersistentMap<GroupId, Long> = persistentMapOf(),
) {
    /** Known instances of [group]. */
    public fun instancesOf(group: GroupId): List<KnownTarget> = targets.values.filter { it.report.group == group }

    /** True if a lease of [group] in its committed term may be granted. */
    public fun isOpen(group: GroupId, term: Term): Boolean =
        group !in promotions && leaderships[group]?.term == term && confirmed[group] == term

    internal fun with(promotion: Promotion): PromotionState = copy(promotions = promotions.put(promotion.group, promotion))

    internal fun without(group: GroupId): PromotionState = copy(promotions = promotions.remove(group))
}
