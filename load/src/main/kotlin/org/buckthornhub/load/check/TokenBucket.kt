package org.buckthornhub.load.check

/** An organisation's right at one moment: [tokens] statements may still be sent at [atMillis]. */
internal data class TokenBucket(
    val right: OrganisationRight,
    val tokens: Double = right.burst.toDouble(),
    val atMillis: Long,
) {
    /** This bucket at [nowMillis]. */
    fun refilled(nowMillis: Long): TokenBucket {
        val minted = (nowMillis - atMillis) * right.ratePerSecond / MILLIS_PER_SECOND
        return copy(tokens = minOf(right.burst.toDouble(), tokens + minted), atMillis = nowMillis)
    }

    /** This bucket after one more statement; it goes below zero while too much is sent. */
    fun spent(): TokenBucket = copy(tokens = tokens - 1)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
