package org.buckthornhub.instancepool

import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.target.TargetId

/** Estimates the wait at an instance from this daemon's own connections and from fixed times, which are the same for every deployment. */
internal class FixedCost(
    private val settings: PoolSettings,
    private val eligibility: InstanceEligibility,
) : InstanceCost {
    override fun of(state: PoolState, instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Double? {
        val request = waiting.request
        if (!eligibility.isEligible(instance, request, nowMillis)) return null
        val limit = state.limitOf(request.group)
        return eligibility.connectionCost(instance, request, limit, nowMillis)?.let { it + placementCost(instance, request, nowMillis) }
    }

    override fun sampled(state: PoolState, target: TargetId, samples: List<StatementSample>, nowMillis: Long): PoolState = state

    override fun advanced(state: PoolState, nowMillis: Long): PoolState = state

    private fun placementCost(instance: PoolInstance, request: ConnectionRequest, nowMillis: Long): Double {
        val distance = if (instance.record.zone == settings.zone) 0.0 else CROSS_ZONE_MILLIS
        val isPrimary = eligibility.servesAsPrimary(instance, nowMillis)
        val role = if (isPrimary && request.requirement is ConnectionRequirement.AtLeast) PRIMARY_MILLIS else 0.0
        val unknown = if (instance.applied == null) UNKNOWN_POSITION_MILLIS else 0.0
        return distance + role + unknown + instance.inUse.size * IN_USE_MILLIS
    }

    private companion object {
        /** Round trip to another availability zone. */
        const val CROSS_ZONE_MILLIS = 2.0

        /** Penalty for reads on the primary, which keeps it free for requests that need it. */
        const val PRIMARY_MILLIS = 6.0

        /** Penalty for an instance of unknown position: the statement may have to move to another instance. */
        const val UNKNOWN_POSITION_MILLIS = 2.0

        /** Wait per connection in use: a statement takes about 18 ms, and an instance serves 3 at a time. */
        const val IN_USE_MILLIS = 6.0
    }
}
