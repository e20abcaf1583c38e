package org.buckthornhub.bench.traffic

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.task.Task

/** Owns the sum of what all metered links have carried. */
internal class TrafficTask : Task<TrafficMessage>("traffic", capacity = 100_000) {
    private var sum = TrafficCount()

    override suspend fun handle(message: TrafficMessage) {
        when (message) {
            is TrafficMessage.Carried -> sum += message.count
            is TrafficMessage.Read -> message.reply.complete(sum)
        }
    }

    suspend fun read(): TrafficCount {
        val reply = CompletableDeferred<TrafficCount>()
        check(offer(TrafficMessage.Read(reply))) { "the traffic task is overloaded" }
        return reply.await()
    }
}
