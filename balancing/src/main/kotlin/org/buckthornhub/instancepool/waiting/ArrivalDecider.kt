package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.instancepool.PoolState
import org.buckthornhub.organisation.OrganisationId

/** Decides whether an arriving statement may wait. */
internal class ArrivalDecider(
    private val settings: WaitingSettings,
    private val estimator: WaitEstimator,
) {
    fun decide(state: PoolState, arriving: PendingConnectionRequest, nowMillis: Long): Arrival {
        if (!settings.rejectsOnArrival || arriving.isOwn) return Arrival(state.copy(waiting = state.waiting.add(arriving)))
        val estimate = estimator.estimateMillis(state, arriving, nowMillis)
        val tooLong = (estimate ?: 0.0) - (arriving.deadlineMillis - nowMillis)
        val estimated = arriving.copy(estimatedMillis = estimate?.toLong())
        // The queue is shorter only after another release, so a caller that came back sooner would be refused again.
        if (tooLong > 0) {
            val holdMillis = state.waits.holds.costMillis(HoldKind.of(arriving), nowMillis)
            return Arrival(state, estimated, RefusalReason.WAIT_TOO_LONG, tooLong + holdMillis)
        }
        if (state.waiting.size < settings.maxWaiting) return Arrival(state.copy(waiting = state.waiting.add(estimated)))
        return full(state, estimated, nowMillis)
    }

    private fun full(state: PoolState, arriving: PendingConnectionRequest, nowMillis: Long): Arrival {
        val freeInMillis = estimator.spacingMillis(state, arriving, nowMillis) ?: HoldTimes.UNMEASURED_MILLIS
        val displaced = displacedBy(state, arriving) ?: return Arrival(state, arriving, RefusalReason.QUEUE_FULL, freeInMillis)
        return Arrival(
            state.copy(waiting = state.waiting.remove(displaced).add(arriving)),
            displaced,
            RefusalReason.DISPLACED,
            freeInMillis,
        )
    }

    // Gives up the least urgent, newest statement of the organisation with the most waiting ones.
    private fun displacedBy(state: PoolState, arriving: PendingConnectionRequest): PendingConnectionRequest? {
        val counts = state.waiting.filter { !it.isOwn }.groupingBy { it.organisation }.eachCount()
        val own = (counts[arriving.organisation] ?: 0) + 1
        val most = counts.values.maxOrNull() ?: return null
        // On arrival, an organisation that would have the most statements itself can only displace one of its own.
        val victims = if (own > most) listOf(arriving.organisation) else counts.filterValues { it == most }.keys.toList()
        val victim = state.waiting.filter { !it.isOwn && it.organisation in victims }
            .maxWithOrNull(compareBy({ it.urgency }, { it.ticket })) ?: return null
        val isMoreUrgent = arriving.urgency < victim.urgency
        val isFairer = own < most && arriving.urgency == victim.urgency
        return victim.takeIf { isMoreUrgent || isFairer }
    }

    private val PendingConnectionRequest.organisation: OrganisationId get() = request.organisation ?: OrganisationId.NONE
}
