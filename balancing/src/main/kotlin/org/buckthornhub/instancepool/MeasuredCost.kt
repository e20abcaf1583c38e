package org.buckthornhub.instancepool

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.load.Draw
import org.buckthornhub.instancepool.load.LeavingShare
import org.buckthornhub.instancepool.load.LeavingShareDecider
import org.buckthornhub.instancepool.load.LoadEstimator
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.target.TargetId

/**
 * Chooses the zone of a read by the share that leaves, and an instance by its measured load.
 *
 * The choice is drawn from the ticket of the request, so that daemons that see the same load don't all choose the same instance.
 * Eligibility, and limits of connections, take precedence: an instance that was not drawn serves where the drawn one can't.
 */
internal class MeasuredCost(
    private val settings: PoolSettings,
    private val eligibility: InstanceEligibility,
) : InstanceCost {
    private val estimator = LoadEstimator(settings.zone)
    private val decider = LeavingShareDecider(settings.leavingPriceMillis, settings.seed)
    private val recorder = LoadRecorder(settings, estimator)

    override fun of(state: PoolState, instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Double? {
        val request = waiting.request
        if (!eligibility.isEligible(instance, request, nowMillis)) return null
        val connection = eligibility.connectionCost(instance, request, state.limitOf(request.group), nowMillis) ?: return null
        if (request.requirement is ConnectionRequirement.Primary) return connection
        val chance = SPREAD_MILLIS * Draw.gumbel(settings.seed, waiting.ticket, instance.record.target.value.hashCode().toLong())
        return connection + readCost(state, instance, nowMillis) - chance + orderCost(state, instance, waiting.ticket, nowMillis)
    }

    override fun sampled(state: PoolState, target: TargetId, samples: List<StatementSample>, nowMillis: Long): PoolState =
        advanced(samples.fold(state) { next, sample -> recorder.record(next, target, sample, nowMillis) }, nowMillis)

    override fun advanced(state: PoolState, nowMillis: Long): PoolState {
        val groups = state.instances.values.groupBy { it.record.group }
        return groups.entries.fold(state) { next, (group, instances) -> stepped(next, group, instances, nowMillis) }
    }

    private fun stepped(state: PoolState, group: GroupId, instances: List<PoolInstance>, nowMillis: Long): PoolState {
        val usable = instances.filter { it.leavingSinceMillis == null && !it.load.outlier.isEjected(nowMillis) }
        val (home, away) = usable.partition { isHome(it.record.zone) }
        if (home.isEmpty() || away.isEmpty()) return state
        val best = home.minBy { readCost(state, it, nowMillis) }
        val known = state.load.shares[group] ?: LeavingShare()
        val next = decider.next(
            known,
            readCost(state, best, nowMillis),
            away.minOf { readCost(state, it, nowMillis) },
            recorder.weightOf(best, nowMillis),
            nowMillis,
        )
        return if (next == known) state else state.copy(load = state.load.copy(shares = state.load.shares.put(group, next)))
    }

    private fun readCost(state: PoolState, instance: PoolInstance, nowMillis: Long): Double {
        val excess = estimator.excess(state.load, instance.load, instance.record.zone, nowMillis)
        val unknown = if (instance.applied == null) UNKNOWN_POSITION_MILLIS else 0.0
        // Statements that only the primary can run wait for the same slots, so that its overload counts twice.
        val overload = (excess - (state.load.calmMillis ?: 0.0)).coerceAtLeast(0.0)
        val role = if (eligibility.servesAsPrimary(instance, nowMillis)) PRIMARY_MILLIS + overload else 0.0
        return excess + unknown + role
    }

    private fun orderCost(state: PoolState, instance: PoolInstance, ticket: Long, nowMillis: Long): Double {
        val share = state.load.shares[instance.record.group]?.share ?: 0.0
        val leaves = Draw.of(settings.seed, ticket, SALT_LEAVING) < share
        val zone = if (leaves == isHome(instance.record.zone)) OTHER_ZONE_COST else 0.0
        val isAdmitted = Draw.of(settings.seed, ticket, SALT_READMISSION) < instance.load.outlier.admittedShare(nowMillis)
        return zone + if (isAdmitted) 0.0 else EJECTED_COST
    }

    private fun isHome(zone: ZoneId): Boolean = zone == settings.zone

    private companion object {
        /** Penalty for reads on the primary, which keeps it free for requests that need it. */
        const val PRIMARY_MILLIS = 6.0

        /** Penalty for an instance of unknown position: the statement may have to move to another instance. */
        const val UNKNOWN_POSITION_MILLIS = 2.0

        /** Between instances whose costs differ by this much, in ms, the cheaper one is drawn 2.7 times as often. */
        const val SPREAD_MILLIS = 10.0

        /** Exceed all costs in ms, so that they decide first: ejected instances are the last choice, after the zone that was not drawn. */
        const val OTHER_ZONE_COST = 1_000.0
        const val EJECTED_COST = 10_000.0
        const val SALT_LEAVING = 1L
        const val SALT_READMISSION = 2L
    }
}
