package org.buckthornhub.queue

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.organisation.OrganisationId

/** The naive queue, a baseline for tests: the oldest call is next, and a full queue refuses the newest. */
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
