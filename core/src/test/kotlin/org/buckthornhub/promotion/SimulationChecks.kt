package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term

/** Compares what daemons believe with what is true. */
internal class SimulationChecks {
    private var acknowledged: PersistentList<SimulatedWrite> = persistentListOf()
    private var violations: PersistentList<String> = persistentListOf()
    private var changes = 0

    fun result(isHeldAtEnd: Boolean) = SimulationResult(violations, changes, acknowledged.size, isHeldAtEnd)

    fun believers(now: Long, daemons: List<SimulatedDaemon>, committed: GroupLeadership?) {
        val believers = daemons.filter { it.believes(now) }
        if (believers.size > 1) violate(now, "${believers.map { it.state.holder to it.state.held }} all believe")
        val old = believers.filterNot { it.believes(now, committed?.term ?: Term.NONE) }
        if (old.isNotEmpty()) violate(now, "${old.map { it.state.holder to it.state.held }} believe in another term than $committed")
    }

    fun acknowledged(now: Long, write: SimulatedWrite, committed: GroupLeadership?) {
        acknowledged = acknowledged.add(write)
        if (committed?.term != write.term) violate(now, "$write acknowledged after $committed")
    }

    fun committed(now: Long, leadership: GroupLeadership) {
        changes += 1
        val lost = acknowledged.filter { it.term < leadership.term && it.position >= leadership.termStart.value }
        if (lost.isNotEmpty()) violate(now, "$lost lost by $leadership")
    }

    private fun violate(now: Long, what: String) {
        violations = violations.add("at $now ms: $what")
    }
}
