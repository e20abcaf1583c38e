package org.buckthornhub.coordination

import kotlinx.collections.immutable.PersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.failover.FailoverDecider
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.FailoverState
import org.buckthornhub.group.GroupId
import org.buckthornhub.horizon.ProbeAssignment
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** On the control leader, maintains the instance directory and the demand by which limits are shared, and starts failovers. */
public class CoordinatorDecider(private val failover: FailoverDecider = FailoverDecider()) :
    Decider<CoordinatorState, CoordinatorMessage, FailoverEffect> {
    override fun decide(
        state: CoordinatorState,
        message: CoordinatorMessage,
        nowMillis: Long,
    ): Decision<CoordinatorState, FailoverEffect> = when (message) {
        is CoordinatorMessage.Announced -> review(withRecord(state, message.record), nowMillis)
        is CoordinatorMessage.Ended -> review(withDirectory(state, state.directory.without(message.target)), nowMillis)
        is CoordinatorMessage.Reported -> reported(state, message.report, nowMillis)
        is CoordinatorMessage.Failover -> decideFailover(state, message.message, nowMillis)
        is CoordinatorMessage.Tick -> tick(state, message, nowMillis)
    }

    private fun withRecord(state: CoordinatorState, record: InstanceRecord): CoordinatorState =
        withDirectory(state, accepted(state, state.directory, record))

    // An instance of a group that no table names may belong to somebody else; it takes no address from one of a group that is named.
    private fun accepted(state: CoordinatorState, directory: InstanceDirectory, record: InstanceRecord): InstanceDirectory {
        val isForeign = state.groups?.let { record.group !in it } ?: false
        val isTaken = isForeign && directory.records.values.any { it.address == record.address && it.group in state.groups.orEmpty() }
        return if (isTaken) directory else directory.with(record)
    }

    // A change of the sequence alone is not passed on to daemons; the directory stores it to discard late announcements.
    private fun withDirectory(state: CoordinatorState, directory: InstanceDirectory): CoordinatorState {
        if (directory === state.directory) return state
        val isChange = directory.ended != state.directory.ended ||
            directory.records.size != state.directory.records.size ||
            directory.records.any { (target, record) -> state.directory.records[target]?.copy(sequence = record.sequence) != record }
        return state.copy(directory = directory, directoryRevision = state.directoryRevision + if (isChange) 1 else 0)
    }

    private fun reported(state: CoordinatorState, report: ProxyReport, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        // A new leader learns of instances that cannot reach it, such as a primary that was partitioned together with the last leader.
        val known = withDirectory(state, report.instances.fold(state.directory) { directory, record -> accepted(state, directory, record) })
        val next = known.copy(
            demand = state.demand.with(report.vm, report.demand, nowMillis),
            unreachable = state.unreachable.put(report.vm, report.unreachable),
            probed = state.probed.put(report.vm, report.probed),
            positions = withPositions(state, report),
            proxies = maxOf(state.proxies, report.proxies),
            leases = state.leases.with(report.vm, report.designationRevision, nowMillis),
        )
        return if (report.unreachable.isEmpty() && !next.failover.isFencing) Decision(next) else review(next, nowMillis)
    }

    private fun tick(
        state: CoordinatorState,
        message: CoordinatorMessage.Tick,
        nowMillis: Long,
    ): Decision<CoordinatorState, FailoverEffect> {
        if (!message.isLeader) {
            // A former leader discards its state, which becomes stale; the next leader collects it anew from instances and daemons.
            val isFormer = state.leadingSinceMillis != null
            return Decision(if (isFormer) CoordinatorState(directoryRevision = state.directoryRevision + 1) else state)
        }
        val leading = if (state.leadingSinceMillis == null) state.copy(leadingSinceMillis = nowMillis) else state
        val demand = leading.demand.pruned(nowMillis)
        val reporting = leading.unreachable.keys.filter { it !in demand.reports }.fold(leading.unreachable) { map, vm -> map.remove(vm) }
        val next = leading.copy(
            demand = demand,
            unreachable = reporting,
            probed = leading.probed.keys.filter { it !in demand.reports }.fold(leading.probed) { map, vm -> map.remove(vm) },
            designations = message.designations,
            evacuated = message.evacuated,
            groups = message.groups,
            syncReplicas = message.syncReplicas,
            leases = leading.leases.pruned(nowMillis),
        )
        return review(next, nowMillis)
    }

    private fun review(state: CoordinatorState, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        val since = state.leadingSinceMillis ?: return Decision(state)
        val isSettled = isSettled(state, nowMillis)
        if (!isSettled && state.proxies == 0) return Decision(state)
        val message = FailoverMessage.Review(
            effectiveRecords(state),
            unreachable(state, isSettled),
            since,
            state.designations,
            fencedRevision(state, since, nowMillis),
            state.syncReplicas,
        )
        return decideFailover(state, message, nowMillis)
    }

    // An old primary that has not noticed its successor still claims to lead. Instances of an evacuated zone are replaced like those
    // that leave.
    private fun effectiveRecords(state: CoordinatorState): List<InstanceRecord> = namedRecords(state).map {
        val isReplaced = it.role == TargetRole.PRIMARY && !state.designations.allows(it.group, it.target)
        val isLeaving = it.isLeaving || it.zone in state.evacuated
        if (isReplaced || isLeaving) it.copy(role = if (isReplaced) TargetRole.REPLICA else it.role, isLeaving = isLeaving) else it
    }

    // Nobody has asked for a failover of a group that no table names.
    private fun namedRecords(state: CoordinatorState): Collection<InstanceRecord> {
        val groups = state.groups ?: return state.directory.records.values
        return state.directory.records.values.filter { it.group in groups }
    }

    // A new leader does not know the daemons to which an earlier one gave leases, so it waits until those have expired.
    private fun fencedRevision(state: CoordinatorState, sinceMillis: Long, nowMillis: Long): Long =
        if (nowMillis - sinceMillis <= PrimaryLeases.LEASE_MILLIS) 0 else state.leases.obeyedRevision(nowMillis) ?: Long.MAX_VALUE

    private fun withPositions(state: CoordinatorState, report: ProxyReport): PersistentMap<GroupId, SharedPosition> =
        report.positions.entries.fold(state.positions) { known, (group, shared) ->
            val newest = known[group]
            if (newest == null || shared.askedMillis > newest.askedMillis) known.put(group, shared) else known
        }

    /**
     * Returns the primaries that most of the daemons that use them can't reach.
     *
     * Until all daemons have reported to a new leader, the number that its predecessor knew of is the lower bound of those.
     */
    private fun unreachable(state: CoordinatorState, isSettled: Boolean): Set<TargetId> {
        val counts = state.unreachable.values.flatten().groupingBy { it }.eachCount()
        return counts.filter { (target, count) ->
            val voters = state.unreachable.count { (vm, targets) -> target in targets || state.probed[vm]?.let { target in it } ?: true }
            val expected = if (state.proxies <= ProbeAssignment.ALL_UP_TO) state.proxies else ProbeAssignment.PER_GROUP
            count * 2 > if (isSettled) voters else maxOf(voters, expected)
        }.keys
    }

    private fun decideFailover(
        state: CoordinatorState,
        message: FailoverMessage,
        nowMillis: Long,
    ): Decision<CoordinatorState, FailoverEffect> {
        if (state.leadingSinceMillis == null) return Decision(state.copy(failover = FailoverState()))
        val designated = (message as? FailoverMessage.Designated)?.designations
        val known = if (designated == null) state else state.copy(designations = designated)
        val decision = failover.decide(state.failover, message, nowMillis)
        return Decision(known.copy(failover = decision.state), decision.effects)
    }

    public companion object {
        /** Time in ms after which a new leader has received an announcement from every instance and daemon. */
        public const val SETTLE_MILLIS: Long = 1_500

        /** Returns the number of daemons that serve sessions, as this leader or, until it knows them all, an earlier one counted them. */
        public fun fleetSize(state: CoordinatorState, nowMillis: Long): Int =
            maxOf(state.demand.reports.size, if (isSettled(state, nowMillis)) 1 else state.proxies)

        /** Returns whether this VM has led for long enough to know all daemons and instances. */
        public fun isSettled(state: CoordinatorState, nowMillis: Long): Boolean =
            state.leadingSinceMillis?.let { nowMillis - it >= SETTLE_MILLIS } ?: false
    }
}
