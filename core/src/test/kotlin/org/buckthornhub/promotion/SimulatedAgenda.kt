package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random

/** True time of a simulation, what is due when, and a network that loses and delays until it is calmed. */
internal class SimulatedAgenda(
    val random: Random,
    private val faults: SimulationFaults,
) {
    var now: Long = 0
        private set
    var isCalm: Boolean = false
    private var due: PersistentMap<Long, PersistentList<() -> Unit>> = persistentMapOf()

    fun step() {
        now += 1
        due[now].orEmpty().forEach { it() }
        due = due.remove(now)
    }

    fun after(millis: Long, action: () -> Unit) {
        val time = now + millis.coerceAtLeast(1)
        due = due.put(time, (due[time] ?: persistentListOf()).add(action))
    }

    /** Carries [action] out after the delay of one message, or never. */
    fun send(action: () -> Unit) {
        if (!isLost()) after(delay(), action)
    }

    fun isLost(): Boolean = !isCalm && random.nextInt(100) < faults.lossPercent

    fun delay(): Long =
        if (!isCalm && random.nextInt(100) < faults.latePercent) random.nextLong(1, faults.lateMillis) else random.nextLong(1, 10)
}
