package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term

/** Checks the leases and writes of the daemons against the committed leaderships. */
internal class SimulationChecks {
    private var acknowledged: PersistentList<SimulatedWrite> = persistentListOf()
    private var violations: PersistentList<String> = persistentListOf()
    private var promotions = 0

    fun result(isHeldAtEnd: Boolean) = SimulationResult(violations, promotions, acknowledged.size, isHeldAtEnd)

    fun checkHolders(now: Long, daemons: List<SimulatedDaemon>, committed: GroupLeadership?) {
        val holders = daemons.filter { it.holdsLease(now) }
        if (holders.size > 1) violate(now, "${holders.map { it.state.holder to it.state.held }} all have a valid lease")
        val stale = holders.filterNot { it.holdsLease(now, committed?.term ?: Term.NONE) }
        if (stale.isNotEmpty()) violate(now, "${stale.map { it.state.holder to it.state.held }} hold another term than $committed")
    }

    fun acknowledged(now: Long, write: SimulatedWrite, committed: GroupLeadership?) {
        acknowledged = acknowledged.add(write)
        if (committed?.term != write.term) violate(now, "$write acknowledged after $committed")
    }

    fun committed(now: Long, leadership: GroupLeadership) {
        promotions += 1
        val lost = acknowledged.filter { it.term < leadership.term && it.position >= leadership.termStart.value }
        if (lost.isNotEmpty()) violate(now, "$lost lost by $leadership")
    }

    private fun violate(now: Long, what: String) {
        violations = violations.add("at $now ms: $what")
    }
}
