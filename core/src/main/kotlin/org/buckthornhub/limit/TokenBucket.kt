package org.buckthornhub.limit

/**
 * Token bucket that refills at the rate of [limit]; issued tokens count against the burst until they are settled.
 *
 * @property remainder thousandths of a micro-token left over from earlier refills
 * @property outstanding issued tokens that may still be spent
 */
public data class TokenBucket(
    val limit: RateLimit,
    val refilledMillis: Long,
    val tokens: TokenAmount = TokenAmount.ZERO,
    val remainder: Long = 0,
    val outstanding: TokenAmount = TokenAmount.ZERO,
) {
    /** Returns this bucket refilled at [nowMillis]; a clock that does not advance adds nothing. */
    public fun refilledAt(nowMillis: Long): TokenBucket {
        if (nowMillis <= refilledMillis) return this
        val elapsedMillis = (nowMillis - refilledMillis).coerceAtMost(RateLimit.NEVER_MILLIS)
        val refill = limit.microPerSecond * elapsedMillis + remainder
        val capacity = (limit.burst - outstanding).coerceAtLeast(TokenAmount.ZERO)
        val full = tokens + TokenAmount(refill / MILLIS_PER_SECOND)
        val nextMillis = if (isNearlyFull(full, capacity)) nowMillis + 1 else nowMillis
        return when {
            full >= capacity -> copy(refilledMillis = nextMillis, tokens = capacity, remainder = 0)
            else -> copy(refilledMillis = nextMillis, tokens = full, remainder = refill % MILLIS_PER_SECOND)
        }
    }

    // A ms clock may tick right after a full bucket was emptied. A nearly full bucket skips the refill of the next tick, so
    // that the tokens spent before and after the tick stay within the burst and the refill of the time between them.
    private fun isNearlyFull(full: TokenAmount, capacity: TokenAmount): Boolean =
        full + TokenAmount(limit.microPerSecond / MILLIS_PER_SECOND + 1) >= capacity

    /** Returns this bucket with [newLimit] from [nowMillis] on; tokens above the new burst are discarded. */
    public fun withLimitAt(newLimit: RateLimit, nowMillis: Long): TokenBucket {
        val refilled = refilledAt(nowMillis)
        if (newLimit == limit) return refilled
        val capacity = (newLimit.burst - outstanding).coerceAtLeast(TokenAmount.ZERO)
        return refilled.copy(
            limit = newLimit,
            tokens = minOf(refilled.tokens, capacity),
            refilledMillis = maxOf(
                refilled.refilledMillis,
                nowMillis + 1,
            ),
        )
    }

    /** Issues [amount]; the caller has checked that the bucket contains it. */
    public fun issue(amount: TokenAmount): TokenBucket = copy(tokens = tokens - amount, outstanding = outstanding + amount)

    /** Settles the issued [amount], of which [returned] comes back unspent. */
    public fun settle(amount: TokenAmount, returned: TokenAmount): TokenBucket =
        copy(outstanding = outstanding - amount, tokens = tokens + returned)

    /** Spends one token, or returns null if less than one is left. */
    public fun spendOne(): TokenBucket? = if (tokens >= TokenAmount.ONE) copy(tokens = tokens - TokenAmount.ONE) else null

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
