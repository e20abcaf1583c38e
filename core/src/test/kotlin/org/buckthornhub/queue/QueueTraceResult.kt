package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.organisation.OrganisationId

/** Outcome of the calls of a trace. */
internal data class QueueTraceResult(
    val arrivals: Map<OrganisationId, Int> = emptyMap(),
    val served: Map<OrganisationId, Int> = emptyMap(),
    val servedTickets: PersistentSet<Long> = persistentSetOf(),
    val refusedTickets: PersistentSet<Long> = persistentSetOf(),
    val arrivedTickets: PersistentSet<Long> = persistentSetOf(),
    val left: Int = 0,
) {
    fun arrived(organisation: OrganisationId, ticket: Long) =
        copy(arrivals = arrivals + (organisation to (arrivals[organisation] ?: 0) + 1), arrivedTickets = arrivedTickets.add(ticket))

    fun refused(ticket: Long?) = if (ticket == null) this else copy(refusedTickets = refusedTickets.add(ticket))

    fun served(call: QueuedCall): QueueTraceResult {
        check(call.ticket !in servedTickets) { "call ${call.ticket} was served twice" }
        val organisation = checkNotNull(call.organisation)
        return copy(served = served + (organisation to (served[organisation] ?: 0) + 1), servedTickets = servedTickets.add(call.ticket))
    }

    /** Returns the minimum over [organisations] of the served fraction of their calls. */
    fun minServedShareOf(organisations: Set<OrganisationId>): Double =
        organisations.minOf { (served[it] ?: 0).toDouble() / (arrivals[it] ?: 1) }
}
