package org.buckthornhub.instancepool.waiting

/**
 * Times at which refused callers of one group were told to return.
 *
 * @property lastMillis latest of these times (local monotonic ms)
 * @property beyond number of callers that the period that callers can use had no place for
 */
public data class ReturnSchedule(
    val lastMillis: Long = 0,
    val beyond: Long = 0,
) {
    /**
     * Returns the schedule with one more caller, and the time in ms after which that caller is to return.
     *
     * Callers return one after the other, in the order in which they were refused, at the rate that can be served. Those that
     * would return too late to use the answer are spread over the period that they can use.
     *
     * @param freeInMillis expected time until there is capacity
     * @param spacingMillis time between two callers that return
     * @param maxMillis longest time that the caller can use
     */
    public fun next(nowMillis: Long, freeInMillis: Double, spacingMillis: Double, maxMillis: Long): Pair<ReturnSchedule, Long> {
        val first = freeInMillis.toLong().coerceIn(MIN_RETURN_MILLIS, maxOf(maxMillis / 2, MIN_RETURN_MILLIS))
        val atMillis = maxOf(nowMillis + first, lastMillis + maxOf(spacingMillis.toLong(), 1))
        if (atMillis - nowMillis <= maxMillis) return copy(lastMillis = atMillis) to atMillis - nowMillis
        val part = (beyond * GOLDEN_RATIO) % 1.0
        return copy(beyond = beyond + 1) to first + (part * (maxMillis - first)).toLong().coerceAtLeast(0)
    }

    private companion object {
        /** Less than this is about one round trip, after which nothing has changed. */
        const val MIN_RETURN_MILLIS = 10L

        /** Multiples of this number, modulo 1, are spread evenly for any count. */
        const val GOLDEN_RATIO = 0.6180339887498949
    }
}
