package org.buckthornhub.quota

/** What one holder of tokens may let through for one organisation: its part of the rate and of the burst. */
public data class MeterRate(
    val ratePerSecond: Double,
    val burst: Double,
) {
    /** The [part] of this that somebody holds apart from others. */
    public fun part(part: Double): MeterRate = MeterRate(ratePerSecond * part, burst * part)

    /** Refills [state]; a burst that shrank takes tokens away, one that grew gives none. A new meter starts full. */
    public fun refill(state: MeterState?, nowMillis: Long): MeterState {
        if (state == null) return MeterState(burst, nowMillis)
        val earned = (nowMillis - state.atMillis).coerceAtLeast(0) * ratePerSecond / MILLIS_PER_SECOND
        return MeterState(minOf(state.tokens + earned, maxOf(burst, 1.0)), nowMillis)
    }

    /** Time until the next token, in ms. */
    public fun retryAfterMillis(state: MeterState): Long {
        if (ratePerSecond <= 0) return LONGEST_MILLIS
        return ((1 - state.tokens) * MILLIS_PER_SECOND / ratePerSecond).toLong().coerceIn(1, LONGEST_MILLIS)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val LONGEST_MILLIS = 5_000L
    }
}
