package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.InstanceCost
import org.buckthornhub.instancepool.InstanceEligibility
import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.instancepool.PoolInstance
import org.buckthornhub.instancepool.PoolState

/** Estimates waits from the measured hold times, the connections in use and the statements that are served before. */
internal class WaitEstimator(
    private val cost: InstanceCost,
    private val eligibility: InstanceEligibility,
    private val order: WaitingOrder,
) {
    /** Returns the expected wait of [arriving] in ms, which is not in the queue of [state] yet; null if nothing was measured. */
    fun estimateMillis(state: PoolState, arriving: PendingConnectionRequest, nowMillis: Long): Double? {
        val costs = state.instances.values.mapNotNull { cost.of(state, it, arriving, nowMillis) }
        if (costs.isNotEmpty()) return 0.0
        val holdMillis = state.waits.holds.usualMillis(HoldKind.of(arriving), nowMillis) ?: return null
        val rate = releasesPerMilli(state, arriving, holdMillis, nowMillis)
        if (rate <= 0.0) return null
        val ahead = statementsAhead(state, arriving, nowMillis).sumOf { sharedPart(it, arriving, state, nowMillis) }
        return (ahead / holdMillis + 1) / rate
    }

    /** Returns the expected time in ms between two releases of connections that [request] can use; null if nothing was measured. */
    fun spacingMillis(state: PoolState, request: PendingConnectionRequest, nowMillis: Long): Double? {
        val holdMillis = state.waits.holds.usualMillis(HoldKind.of(request), nowMillis) ?: return null
        return releasesPerMilli(state, request, holdMillis, nowMillis).takeIf { it > 0.0 }?.let { 1 / it }
    }

    // A connection that is in use for longer than usual is expected to stay so for as long again, as in a stalled instance.
    private fun releasesPerMilli(state: PoolState, request: PendingConnectionRequest, holdMillis: Double, nowMillis: Long): Double {
        val limit = state.limitOf(request.request.group)
        return usable(state, request, nowMillis).sumOf { instance ->
            val inUse = instance.inUse.keys.sumOf { id ->
                val ageMillis = state.waits.holds.held[id]?.let { nowMillis - it.sinceMillis } ?: 0
                1 / maxOf(holdMillis, ageMillis.toDouble())
            }
            val others = if (nowMillis >= instance.retryAtMillis) limit - instance.inUse.size else instance.size - instance.inUse.size
            inUse + maxOf(others, 0) / holdMillis
        }
    }

    private fun usable(state: PoolState, request: PendingConnectionRequest, nowMillis: Long): List<PoolInstance> =
        state.instances.values.filter {
            it.record.group == request.request.group && eligibility.mayServeUntil(it, request, nowMillis)
        }

    private fun statementsAhead(state: PoolState, arriving: PendingConnectionRequest, nowMillis: Long): List<PendingConnectionRequest> {
        val others = state.waiting.filter { it.request.group == arriving.request.group }
        val holds = state.waits.holds
        val tiers = order.tiers(others + arriving, state.waits.progress) { holds.costMillis(HoldKind.of(it), nowMillis) }
        return tiers.filter { it.mayOpen }.flatMap { it.statements }.takeWhile { it !== arriving }
    }

    // The part of the time of [other] that it spends on connections that [arriving] can use too.
    private fun sharedPart(other: PendingConnectionRequest, arriving: PendingConnectionRequest, state: PoolState, nowMillis: Long): Double {
        val holdMillis = state.waits.holds.costMillis(HoldKind.of(other), nowMillis)
        val isReadAheadOfPrimary = other.request.requirement is ConnectionRequirement.AtLeast &&
            arriving.request.requirement is ConnectionRequirement.Primary
        return if (isReadAheadOfPrimary) holdMillis / maxOf(usable(state, other, nowMillis).size, 1) else holdMillis
    }
}
