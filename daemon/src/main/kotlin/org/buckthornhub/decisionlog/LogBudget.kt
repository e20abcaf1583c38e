package org.buckthornhub.decisionlog

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Lines that may be written in the current second, and how many of each event were left out.
 *
 * @property secondStartMillis when the second began (local monotonic ms)
 */
internal data class LogBudget(
    val linesPerSecond: Int,
    val secondStartMillis: Long = 0,
    val written: Int = 0,
    val dropped: PersistentMap<String, Int> = persistentMapOf(),
) {
    /** The budget after one more line, and whether it is written. Routine lines leave half of the budget to the others. */
    fun after(event: DecisionEvent, nowMillis: Long): Pair<LogBudget, Boolean> {
        val current = if (nowMillis - secondStartMillis >= MILLIS_PER_SECOND) copy(secondStartMillis = nowMillis, written = 0) else this
        val isWritten = current.written < if (event.isRoutine) linesPerSecond / 2 else linesPerSecond
        return (if (isWritten) current.copy(written = current.written + 1) else current.without(event)) to isWritten
    }

    private fun without(event: DecisionEvent) = copy(dropped = dropped.put(event.name, (dropped[event.name] ?: 0) + 1))

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
