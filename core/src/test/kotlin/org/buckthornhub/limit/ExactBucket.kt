package org.buckthornhub.limit

/** The naive single bucket of an organisation, in true time and exact arithmetic; it starts full. */
internal class ExactBucket(private val limit: RateLimit) {
    private val full = limit.burst.micro * SCALE
    private var level = full
    private var atMicros = 0L

    fun hasToken(nowMicros: Long): Boolean {
        level = minOf(full, level + limit.microPerSecond * minOf(nowMicros - atMicros, MOST_MICROS))
        atMicros = nowMicros
        return level >= TokenAmount.ONE.micro * SCALE
    }

    /** Spends even what is not there, so that a debt shows later too. */
    fun spend(nowMicros: Long): Boolean {
        val had = hasToken(nowMicros)
        level -= TokenAmount.ONE.micro * SCALE
        return had
    }

    private companion object {
        const val SCALE = 1_000_000L
        const val MOST_MICROS = 1_000_000_000L
    }
}
