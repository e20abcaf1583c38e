package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.organisation.OrganisationId

/**
 * Order by urgency (priority, then transactions that have begun), and by deficit round robin over the organisations within an urgency.
 *
 * Addresses the load of one organisation that sends many times its usual rate: each organisation gets the same connection time in
 * each round. An urgency that was passed over for long enough is served next, so that none starves.
 */
public data object FairOrder : WaitingOrder {
    /** Connection time of other urgencies, in multiples of its own, after which a statement is served: each gets a ninth of the time. */
    private const val PASSED_OVER_COSTS = 8

    /** Connection time per round. Handing over a connection takes 14 ms; shorter rounds did so too often in a burst. */
    private const val QUANTUM_MILLIS = 240.0

    /** How far an organisation may be behind the others; bounds the advantage of one that was served little for long. */
    private const val MAX_LAG_MILLIS = 1_000.0

    override fun tiers(
        waiting: List<PendingConnectionRequest>,
        progress: ServiceProgress,
        costOf: (PendingConnectionRequest) -> Double,
    ): List<ServiceTier> = waiting.groupBy { it.request.group }.flatMap { (group, own) -> tiersOfGroup(own, progress.of(group), costOf) }

    override fun afterService(
        progress: ServiceProgress,
        served: PendingConnectionRequest,
        left: List<PendingConnectionRequest>,
        costMillis: Double,
    ): ServiceProgress {
        val group: GroupId = served.request.group
        val others = left.filter { it.request.group == group }
        val known = progress.of(group)
        val start = known.startOf(served.organisation)
        val used = known.usedMillis.put(served.organisation, start + costMillis)
        val furthest = others.minOfOrNull { maxOf(known.currentMillis, used[it.organisation] ?: 0.0) } ?: start
        val current = maxOf(furthest, used.values.max() - MAX_LAG_MILLIS)
        val ahead = used.filterValues { it > current }.toPersistentMap()
        return progress.with(group, GroupProgress(current, ahead, passedOver(known.passedOverMillis, served, others, costMillis)))
    }

    private fun passedOver(
        known: PersistentMap<Int, Double>,
        served: PendingConnectionRequest,
        others: List<PendingConnectionRequest>,
        costMillis: Double,
    ): PersistentMap<Int, Double> {
        // What others used beyond the share is kept for the next statement; otherwise long ones of others would shrink the share.
        val rest = (known[served.urgency] ?: 0.0) - PASSED_OVER_COSTS * costMillis
        val waiting = (others.map { it.urgency }.toSet() - served.urgency).associateWith { (known[it] ?: 0.0) + costMillis }
        return (if (rest > 0) waiting + (served.urgency to rest) else waiting).toPersistentMap()
    }

    private fun tiersOfGroup(
        waiting: List<PendingConnectionRequest>,
        progress: GroupProgress,
        costOf: (PendingConnectionRequest) -> Double,
    ): List<ServiceTier> {
        val byUrgency = waiting.groupBy { it.urgency }.toSortedMap().mapValues { (_, own) -> rounds(own, progress, costOf) }
        val overdue = byUrgency.mapValues { (_, own) -> own.values.first().first() }
            .filter { (urgency, next) -> (progress.passedOverMillis[urgency] ?: 0.0) >= PASSED_OVER_COSTS * costOf(next) }
            .maxByOrNull { (urgency, next) -> (progress.passedOverMillis[urgency] ?: 0.0) / costOf(next) }?.value
        val first = listOfNotNull(overdue)
        // An organisation keeps its connection for the rest of its time in the round, whatever the urgency of its statements:
        // handing the connection over costs about as much as a statement.
        val kept = byUrgency.values.flatMap { it[0].orEmpty() }
        val rest = byUrgency.values.flatMap { it.values }.map { round -> round.filter { it !== overdue } }
        return listOf(ServiceTier(first), ServiceTier(kept, mayOpen = false)) + rest.map { ServiceTier(it) }
    }

    // The round of a statement is the one in which its organisation has enough time for it after its earlier statements.
    private fun rounds(
        waiting: List<PendingConnectionRequest>,
        progress: GroupProgress,
        costOf: (PendingConnectionRequest) -> Double,
    ): Map<Int, List<PendingConnectionRequest>> {
        val rounds = waiting.groupBy { it.organisation }.flatMap { (organisation, own) ->
            val ahead = progress.startOf(organisation) - progress.currentMillis
            val starts = own.runningFold(ahead) { start, statement -> start + costOf(statement) }
            own.zip(starts)
        }
        // Within a round, an organisation that sends one statement at a time does not wait for all earlier ones of another.
        return rounds.sortedWith(compareBy({ it.second }, { it.first.ticket }))
            .groupBy({ (it.second / QUANTUM_MILLIS).toInt() }, { it.first })
    }

    private val PendingConnectionRequest.organisation: OrganisationId get() = request.organisation ?: OrganisationId.NONE
}
