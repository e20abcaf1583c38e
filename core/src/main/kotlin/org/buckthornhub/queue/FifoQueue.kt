package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.organisation.OrganisationId

/** First in, first out queue, a baseline for tests; a full queue refuses the new call. */
internal data class FifoQueue(
    private val capacity: Int,
    private val calls: PersistentList<QueuedCall> = persistentListOf(),
) : CallQueue {
    override val size: Int get() = calls.size

    override fun add(call: QueuedCall): QueueAddition =
        if (size < capacity) QueueAddition(copy(calls = calls.add(call))) else QueueAddition(this, refused = call.ticket)

    override fun take(): QueueRemoval? = calls.firstOrNull()?.let { QueueRemoval(it, copy(calls = calls.removeAt(0))) }

    override fun remove(ticket: Long): CallQueue = copy(calls = calls.filter { it.ticket != ticket }.toPersistentList())

    override fun callsAheadOf(organisation: OrganisationId?): Int = size
}
