package org.buckthornhub.promotion

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random

/** Virtual time and pending events of a simulation, and a network that loses and delays messages until faults end. */
internal class SimulatedSchedule(
    val random: Random,
    private val faults: SimulationFaults,
) {
    var now: Long = 0
        private set
    var isFaultFree: Boolean = false
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

    /** Runs [action] after the delay of one message, or never if the message is lost. */
    fun send(action: () -> Unit) {
        if (!isLost()) after(delay(), action)
    }

    fun isLost(): Boolean = !isFaultFree && random.nextInt(100) < faults.lossPercent

    fun delay(): Long =
        if (!isFaultFree && random.nextInt(100) < faults.delayPercent) random.nextLong(1, faults.maxDelayMillis) else random.nextLong(1, 10)
}
