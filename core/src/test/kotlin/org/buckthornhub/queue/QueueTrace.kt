package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId
import kotlin.random.Random

/** Runs a queue before one connection: arrivals per ms at [rates], each call taking 1 ms, for [millis]. */
internal class QueueTrace(
    private val seed: Int,
    private val rates: Map<OrganisationId, Double>,
    private val millis: Int = 5_000,
) {
    /** The share of its arrivals that each organisation got served, and how many calls left the queue otherwise. */
    fun run(policy: QueuePolicy): QueueTraceResult {
        val random = Random(seed)
        var queue = policy.emptyQueue(CAPACITY)
        var result = QueueTraceResult()
        var ticket = 0L
        repeat(millis) {
            rates.forEach { (organisation, rate) ->
                if (random.nextDouble() < rate) {
                    ticket += 1
                    val addition = queue.add(QueuedCall(ticket, organisation, costMillis = 1.0))
                    queue = addition.queue
                    result = result.arrived(organisation, ticket).refused(addition.refused)
                }
            }
            queue.take()?.let {
                queue = it.queue
                result = result.served(it.call)
            }
        }
        return result.copy(left = queue.size)
    }

    private companion object {
        const val CAPACITY = 64
    }
}
