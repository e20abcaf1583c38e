package org.buckthornhub.decisionlog

/**
 * Lines that may be written in the current second, and how many were left out.
 *
 * @property secondStartMillis when the second began (local monotonic ms)
 */
internal data class LogBudget(
    val linesPerSecond: Int,
    val secondStartMillis: Long = 0,
    val written: Int = 0,
    val dropped: Int = 0,
) {
    /** The budget after one more line, and whether it is written. Routine lines leave half of the budget to the others. */
    fun after(isRoutine: Boolean, nowMillis: Long): Pair<LogBudget, Boolean> {
        val current = if (nowMillis - secondStartMillis >= MILLIS_PER_SECOND) copy(secondStartMillis = nowMillis, written = 0) else this
        val isWritten = current.written < if (isRoutine) linesPerSecond / 2 else linesPerSecond
        return (if (isWritten) current.copy(written = current.written + 1) else current.copy(dropped = current.dropped + 1)) to isWritten
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
