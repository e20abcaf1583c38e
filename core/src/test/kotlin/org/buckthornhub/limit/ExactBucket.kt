package org.buckthornhub.limit

/** Reference model: one token bucket for the whole fleet, in true time and exact arithmetic. It starts full. */
internal class ExactBucket(private val limit: RateLimit) {
    private val full = limit.burst.micro * SCALE
    private var level = full
    private var atMicros = 0L

    fun hasToken(nowMicros: Long): Boolean {
        level = minOf(full, level + limit.microPerSecond * minOf(nowMicros - atMicros, MAX_ELAPSED_MICROS))
        atMicros = nowMicros
        return level >= TokenAmount.ONE.micro * SCALE
    }

    /** Spends a token even if none is left, so that the debt also counts against later admissions. */
    fun spend(nowMicros: Long): Boolean {
        val had = hasToken(nowMicros)
        level -= TokenAmount.ONE.micro * SCALE
        return had
    }

    private companion object {
        const val SCALE = 1_000_000L
        const val MAX_ELAPSED_MICROS = 1_000_000_000L
    }
}
