package org.buckthornhub.limit

import java.util.PriorityQueue

/** Runs scheduled actions in the order of their time; virtual time is in microseconds. */
internal class VirtualTime {
    private val actions = PriorityQueue(compareBy<Scheduled>({ it.atMicros }, { it.order }))
    private var order = 0L

    var nowMicros = 0L
        private set

    fun after(delayMicros: Long, run: () -> Unit) {
        actions.add(Scheduled(nowMicros + delayMicros, order++, run))
    }

    fun runUntil(endMicros: Long) {
        while (actions.isNotEmpty() && actions.peek().atMicros <= endMicros) {
            val next = actions.poll()
            nowMicros = next.atMicros
            next.run()
        }
        nowMicros = endMicros
    }

    private class Scheduled(
        val atMicros: Long,
        val order: Long,
        val run: () -> Unit,
    )
}
