package org.buckthornhub.coordination

import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.failover.FailoverDecider
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.FailoverState
import org.buckthornhub.target.TargetId

/** Keeps the directory of instances, divides limits, and has primaries replaced, as long as this VM leads. */
public class CoordinatorDecider(private val failover: FailoverDecider = FailoverDecider()) :
    Decider<CoordinatorState, CoordinatorMessage, FailoverEffect> {
    override fun decide(
        state: CoordinatorState,
        message: CoordinatorMessage,
        nowMillis: Long,
    ): Decision<CoordinatorState, FailoverEffect> = when (message) {
        is CoordinatorMessage.Announced -> review(withDirectory(state, state.directory.with(message.record)), nowMillis)
        is CoordinatorMessage.Ended -> review(withDirectory(state, state.directory.without(message.target)), nowMillis)
        is CoordinatorMessage.Reported -> reported(state, message.report, nowMillis)
        is CoordinatorMessage.Failover -> fail(state, message.message, nowMillis)
        is CoordinatorMessage.Tick -> tick(state, message.isLeader, nowMillis)
    }

    // The sequence alone is no news to daemons, but the directory keeps it to drop what comes late.
    private fun withDirectory(state: CoordinatorState, directory: InstanceDirectory): CoordinatorState {
        if (directory === state.directory) return state
        val isNews = directory.ended != state.directory.ended ||
            directory.records.size != state.directory.records.size ||
            directory.records.any { (target, record) -> state.directory.records[target]?.copy(sequence = record.sequence) != record }
        return state.copy(directory = directory, directoryRevision = state.directoryRevision + if (isNews) 1 else 0)
    }

    private fun reported(state: CoordinatorState, report: ProxyReport, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        // A new leader learns of instances that can't announce themselves to it, such as a primary that was cut off with the last one.
        val known = withDirectory(state, report.instances.fold(state.directory) { directory, record -> directory.with(record) })
        val next = known.copy(
            demand = state.demand.with(report.vm, report.demand, nowMillis),
            unreachable = state.unreachable.put(report.vm, report.unreachable),
            proxies = maxOf(state.proxies, report.proxies),
        )
        return if (report.unreachable.isEmpty()) Decision(next) else review(next, nowMillis)
    }

    private fun tick(state: CoordinatorState, isLeader: Boolean, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        if (!isLeader) {
            // What was learnt as leader grows old; the next leader hears it from the instances themselves.
            val isFormer = state.leadingSinceMillis != null
            return Decision(if (isFormer) CoordinatorState(directoryRevision = state.directoryRevision + 1) else state)
        }
        val leading = if (state.leadingSinceMillis == null) state.copy(leadingSinceMillis = nowMillis) else state
        val demand = leading.demand.pruned(nowMillis)
        val heard = leading.unreachable.keys.filter { it !in demand.reports }.fold(leading.unreachable) { map, vm -> map.remove(vm) }
        return review(leading.copy(demand = demand, unreachable = heard), nowMillis)
    }

    private fun review(state: CoordinatorState, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        val since = state.leadingSinceMillis ?: return Decision(state)
        val isSettled = isSettled(state, nowMillis)
        if (!isSettled && state.proxies == 0) return Decision(state)
        // A leader that is too new to have heard of every daemon counts those that the last one knew of as well.
        val daemons = if (isSettled) state.unreachable.size else maxOf(state.unreachable.size, state.proxies)
        return fail(state, FailoverMessage.Review(state.directory.records.values, unreachable(state, daemons), since), nowMillis)
    }

    private fun unreachable(state: CoordinatorState, daemons: Int): Set<TargetId> {
        val counts = state.unreachable.values.flatten().groupingBy { it }.eachCount()
        return counts.filterValues { it * 2 > daemons }.keys
    }

    private fun fail(state: CoordinatorState, message: FailoverMessage, nowMillis: Long): Decision<CoordinatorState, FailoverEffect> {
        if (state.leadingSinceMillis == null) return Decision(state.copy(failover = FailoverState()))
        val decision = failover.decide(state.failover, message, nowMillis)
        return Decision(state.copy(failover = decision.state), decision.effects)
    }

    public companion object {
        /** A new leader has heard of every instance and daemon after this time: one announcement of each, in ms. */
        public const val SETTLE_MILLIS: Long = 1_500

        /** True once this VM has led long enough to know all daemons and instances. */
        public fun isSettled(state: CoordinatorState, nowMillis: Long): Boolean =
            state.leadingSinceMillis?.let { nowMillis - it >= SETTLE_MILLIS } ?: false
    }
}
