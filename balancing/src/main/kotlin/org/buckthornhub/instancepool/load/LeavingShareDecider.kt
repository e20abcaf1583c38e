package org.buckthornhub.instancepool.load

/**
 * Changes the share of reads that leaves the zone in bounded steps, until leaving saves what it costs.
 *
 * Addresses a zone whose demand exceeds its own instances for some seconds. All daemons of a zone see the same overload at about
 * the same time, so that a choice of yes or no would move all of them at once, and back.
 */
internal class LeavingShareDecider(
    private val priceMillis: Long,
    private val seed: Long,
) {
    /**
     * Returns the next share if a step is due at [nowMillis].
     *
     * @param homeWeight number of recent statements behind [homeMillis]
     */
    fun next(known: LeavingShare, homeMillis: Double, awayMillis: Double, homeWeight: Double, nowMillis: Long): LeavingShare {
        if (nowMillis - known.steppedMillis < intervalAfter(known.steppedMillis)) return known
        val gain = homeMillis - awayMillis - priceMillis
        val change = when {
            gain < -HYSTERESIS_MILLIS -> -DECREASE
            // Without recent statements in the own zone, nothing shows that it is still overloaded.
            gain <= HYSTERESIS_MILLIS || homeWeight < MIN_WEIGHT -> 0.0
            else -> ((gain - HYSTERESIS_MILLIS) / FULL_GAIN_MILLIS).coerceAtMost(1.0) * MAX_INCREASE
        }
        return LeavingShare((known.share + change).coerceIn(0.0, MAX_SHARE), nowMillis, homeMillis, awayMillis)
    }

    // The daemons take their steps at different times, so that each sees a part of the effect of the others' steps.
    private fun intervalAfter(steppedMillis: Long): Long =
        STEP_MILLIS + (Draw.of(seed, steppedMillis, salt = 0) * STEP_JITTER_MILLIS).toLong()

    private companion object {
        const val STEP_MILLIS = 250L
        const val STEP_JITTER_MILLIS = 200L

        /** Gains within this many ms of the price change nothing. */
        const val HYSTERESIS_MILLIS = 5.0

        /** Gain beyond the hysteresis, in ms, from which a step has its full size. */
        const val FULL_GAIN_MILLIS = 20.0

        /** Largest step away: a zone can send half of its reads away within about a second. */
        const val MAX_INCREASE = 0.2

        /** Step of the return: even the largest share returns within about 4 s. */
        const val DECREASE = 0.08

        /** Some reads stay, so that a recovery of the own zone is seen. */
        const val MAX_SHARE = 0.9
        const val MIN_WEIGHT = 0.5
    }
}
