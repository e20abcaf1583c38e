package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import kotlin.random.Random

/** Instances of the simulated group; `t0` is the primary of term 1. */
internal class SimulatedTargets(
    size: Int,
    private val random: Random,
) {
    private var targets: PersistentMap<TargetId, SimulatedTarget> =
        (0 until size).fold(persistentMapOf()) { all, index ->
            val role = if (index == 0) TargetRole.PRIMARY else TargetRole.REPLICA
            val id = TargetId("t$index")
            all.put(id, SimulatedTarget(id, role, replicatesFrom = TargetId("t0")))
        }

    fun get(id: TargetId): SimulatedTarget = targets.getValue(id)

    fun toggleAlive(id: TargetId) = put(get(id).copy(isAlive = !get(id).isAlive))

    fun reviveAll() = targets.values.forEach { put(it.copy(isAlive = true)) }

    fun answers(isLost: () -> Boolean): List<TargetReport> = targets.values.filter { it.isAlive && !isLost() }.map { it.report() }

    fun replicate() = targets.values.forEach { target ->
        if (target.replicatesFrom != target.id && random.nextInt(3) > 0) put(target.replicated(get(target.replicatesFrom)))
    }

    /** Appends a write to the live primary of [term] among [owned]; returns null if there is none. */
    fun append(owned: Set<TargetId>, term: Term): SimulatedTarget? {
        val primary = owned.map { get(it) }.firstOrNull { it.role == TargetRole.PRIMARY && it.term == term && it.isAlive } ?: return null
        return primary.copy(received = primary.received + 1).also { put(it) }
    }

    fun hasCopy(primary: TargetId, write: SimulatedWrite): Boolean =
        targets.values.any { it.id != primary && it.term == write.term && it.received >= write.position }

    /** Promotes the primary of [leadership]; returns true if it leads in that term afterwards. */
    fun promote(leadership: GroupLeadership): Boolean {
        val target = get(leadership.primary).promoted(leadership.term)
        put(target)
        return target.isAlive && target.role == TargetRole.PRIMARY && target.term == leadership.term
    }

    fun follow(id: TargetId, leadership: GroupLeadership) =
        put(get(id).followed(leadership.term, leadership.primary, leadership.termStart.value))

    private fun put(target: SimulatedTarget) {
        targets = targets.put(target.id, target)
    }
}
