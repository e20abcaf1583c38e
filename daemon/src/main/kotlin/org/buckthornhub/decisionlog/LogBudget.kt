package org.buckthornhub.decisionlog

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.connection.AttemptFailure

/**
 * Limit of log lines per second, with the number of lines written in the current second and of lines dropped per event.
 *
 * @property secondStartMillis start of the current second (local monotonic ms)
 */
internal data class LogBudget(
    val linesPerSecond: Int,
    val secondStartMillis: Long = 0,
    val written: Int = 0,
    val dropped: PersistentMap<String, Int> = persistentMapOf(),
) {
    /**
     * Returns the budget after one more line, and whether the line is written. Routine lines use at most half of the budget;
     * failures at a target have a tenth more, and those that may have run another tenth, as the others can be many.
     */
    fun consume(event: DecisionEvent, nowMillis: Long): Pair<LogBudget, Boolean> {
        val current = if (nowMillis - secondStartMillis >= MILLIS_PER_SECOND) copy(secondStartMillis = nowMillis, written = 0) else this
        val limit = when {
            event.isRoutine -> linesPerSecond / 2
            event.attempts.any { it is AttemptFailure.MayHaveRun } -> linesPerSecond + 2 * linesPerSecond / EXTRA_DIVISOR
            event.attempts.any { it.target != null } -> linesPerSecond + linesPerSecond / EXTRA_DIVISOR
            else -> linesPerSecond
        }
        val isWritten = current.written < limit
        return (if (isWritten) current.copy(written = current.written + 1) else current.withDropped(event)) to isWritten
    }

    private fun withDropped(event: DecisionEvent) = copy(dropped = dropped.put(event.name, (dropped[event.name] ?: 0) + 1))

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val EXTRA_DIVISOR = 10
    }
}
