package org.buckthornhub.instancepool

/** An instance with slots and a queue: work starts in the order of arrival, and is refused where the queue is full. */
internal class SimulatedInstance {
    private val freeAtMillis = DoubleArray(SLOTS)
    private var starts = listOf<Double>()

    /** Returns the time at which work of [workMillis] that arrives at [nowMillis] is done; null if it is refused. */
    fun doneAt(nowMillis: Double, workMillis: Double): Double? {
        starts = starts.filter { it > nowMillis }
        if (starts.size >= QUEUE) return null
        val slot = freeAtMillis.indices.minBy { freeAtMillis[it] }
        val start = maxOf(nowMillis, freeAtMillis[slot])
        if (start > nowMillis) starts = starts + start
        freeAtMillis[slot] = start + workMillis
        return freeAtMillis[slot]
    }

    private companion object {
        const val SLOTS = 6
        const val QUEUE = 24
    }
}
