package org.buckthornhub.load.history

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.task.Task

/** Collects the events of all clients. */
internal class HistoryTask : Task<HistoryMessage>("history", CAPACITY) {
    private var history = History()

    /** A lost event would make the checker blind, so it is a fault of the tool. */
    fun record(message: HistoryMessage): Unit = check(offer(message)) { "the history can't keep up" }

    suspend fun take(): History {
        val reply = CompletableDeferred<History>()
        record(HistoryMessage.Take(reply))
        return reply.await()
    }

    override suspend fun handle(message: HistoryMessage) {
        when (message) {
            is HistoryMessage.Ended -> history = history.copy(attempts = history.attempts.add(message.attempt))
            is HistoryMessage.Marked -> history = history.copy(faults = history.faults.add(message.fault))
            is HistoryMessage.Take -> message.reply.complete(history)
        }
    }

    private companion object {
        const val CAPACITY = 200_000
    }
}
