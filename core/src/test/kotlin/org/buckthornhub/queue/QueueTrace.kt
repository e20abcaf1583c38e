package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId
import kotlin.random.Random

/** Simulates a queue for one connection over [millis]: random arrivals at [rates] per ms, and calls that take 1 ms each. */
internal class QueueTrace(
    private val seed: Int,
    private val rates: Map<OrganisationId, Double>,
    private val millis: Int = 5_000,
) {
    /** Runs the trace with a queue of [policy]. */
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
