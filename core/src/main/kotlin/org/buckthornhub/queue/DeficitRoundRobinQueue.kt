package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.organisation.OrganisationId

/**
 * Deficit round robin queue: each organisation gets the same connection time per round, independent of the cost of its calls.
 *
 * A full queue refuses the newest call of the organisation with the most calls, so that an organisation with too many
 * calls can't displace those of the others.
 */
internal data class DeficitRoundRobinQueue(
    private val capacity: Int,
    private val queues: PersistentMap<OrganisationId?, OrganisationQueue> = persistentMapOf(),
    private val rotation: PersistentList<OrganisationId?> = persistentListOf(),
    override val size: Int = 0,
) : CallQueue {
    override fun add(call: QueuedCall): QueueAddition {
        if (size < capacity) return QueueAddition(withCall(call))
        val longest = queues.maxByOrNull { it.value.calls.size } ?: return QueueAddition(this, refused = call.ticket)
        val ownSize = queues[call.organisation]?.calls?.size ?: 0
        if (ownSize + 1 >= longest.value.calls.size) return QueueAddition(this, refused = call.ticket)
        val refused = longest.value.calls.last().ticket
        return QueueAddition(withoutCall(longest.key, refused).withCall(call), refused)
    }

    override fun take(): QueueRemoval? = if (rotation.isEmpty()) null else takeFrom(rotation.first())

    override fun remove(ticket: Long): CallQueue {
        val owner = queues.entries.firstOrNull { entry -> entry.value.calls.any { it.ticket == ticket } } ?: return this
        return withoutCall(owner.key, ticket)
    }

    override fun callsAheadOf(organisation: OrganisationId?): Int {
        val ownSize = queues[organisation]?.calls?.size ?: 0
        return queues.entries.sumOf { (other, queue) -> if (other == organisation) ownSize else minOf(queue.calls.size, ownSize + 1) }
    }

    private fun takeFrom(organisation: OrganisationId?): QueueRemoval {
        val queue = queues.getValue(organisation)
        val call = queue.calls.first()
        // An organisation that can't afford its next call gets one quantum per round and moves to the end of the rotation.
        if (queue.deficitMillis < call.costMillis) return rotated(organisation, queue).let { checkNotNull(it.take()) }
        val rest = OrganisationQueue(queue.calls.removeAt(0), queue.deficitMillis - call.costMillis)
        return QueueRemoval(call, withQueue(organisation, rest).copy(size = size - 1))
    }

    private fun rotated(organisation: OrganisationId?, queue: OrganisationQueue): DeficitRoundRobinQueue = copy(
        queues = queues.put(organisation, queue.copy(deficitMillis = queue.deficitMillis + QUANTUM_MILLIS)),
        rotation = rotation.removeAt(0).add(organisation),
    )

    private fun withCall(call: QueuedCall): DeficitRoundRobinQueue {
        val queue = queues[call.organisation]
        val cost = call.copy(costMillis = call.costMillis.coerceIn(MIN_COST_MILLIS, MAX_COST_MILLIS))
        return copy(
            queues = queues.put(call.organisation, (queue ?: OrganisationQueue()).let { it.copy(calls = it.calls.add(cost)) }),
            rotation = if (queue == null) rotation.add(call.organisation) else rotation,
            size = size + 1,
        )
    }

    private fun withoutCall(organisation: OrganisationId?, ticket: Long): DeficitRoundRobinQueue {
        val queue = queues.getValue(organisation)
        val rest = queue.copy(calls = queue.calls.filter { it.ticket != ticket }.toPersistentList())
        return withQueue(organisation, rest).copy(size = size - 1)
    }

    // An organisation without calls loses its deficit, so that it can't accumulate time while idle.
    private fun withQueue(organisation: OrganisationId?, queue: OrganisationQueue): DeficitRoundRobinQueue = if (queue.calls.isEmpty()) {
        copy(queues = queues.remove(organisation), rotation = rotation.remove(organisation))
    } else {
        copy(queues = queues.put(organisation, queue))
    }

    private companion object {
        const val QUANTUM_MILLIS = 2.0
        const val MIN_COST_MILLIS = 0.1
        const val MAX_COST_MILLIS = 200.0
    }
}
