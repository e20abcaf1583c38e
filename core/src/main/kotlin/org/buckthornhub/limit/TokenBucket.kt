package org.buckthornhub.limit

/**
 * A bucket of tokens that mints at the rate of [limit]; tokens that were handed out count against the burst until
 * they are settled.
 *
 * @property remainder thousandths of a micro-token that earlier minting left over
 * @property handedOut tokens outside the bucket that may still be spent
 */
public data class TokenBucket(
    val limit: RateLimit,
    val mintedMillis: Long,
    val tokens: TokenAmount = TokenAmount.ZERO,
    val remainder: Long = 0,
    val handedOut: TokenAmount = TokenAmount.ZERO,
) {
    /** This bucket at [nowMillis]; a clock that stands still or goes back mints nothing. */
    public fun mintedAt(nowMillis: Long): TokenBucket {
        if (nowMillis <= mintedMillis) return this
        val elapsedMillis = (nowMillis - mintedMillis).coerceAtMost(RateLimit.NEVER_MILLIS)
        val produced = limit.microPerSecond * elapsedMillis + remainder
        val room = (limit.burst - handedOut).coerceAtLeast(TokenAmount.ZERO)
        val full = tokens + TokenAmount(produced / MILLIS_PER_SECOND)
        val nextMillis = if (isNearly(full, room)) nowMillis + 1 else nowMillis
        return when {
            full >= room -> copy(mintedMillis = nextMillis, tokens = room, remainder = 0)
            else -> copy(mintedMillis = nextMillis, tokens = full, remainder = produced % MILLIS_PER_SECOND)
        }
    }

    // A clock in whole ms may tick right after a full bucket was emptied: near the brim the next tick mints nothing,
    // so that what was spent before and after the tick is not more than the burst and the time between them allow.
    private fun isNearly(full: TokenAmount, room: TokenAmount): Boolean =
        full + TokenAmount(limit.microPerSecond / MILLIS_PER_SECOND + 1) >= room

    /** This bucket under [newLimit] from [nowMillis] on; tokens beyond the new burst are gone. */
    public fun relimitedAt(newLimit: RateLimit, nowMillis: Long): TokenBucket {
        val minted = mintedAt(nowMillis)
        if (newLimit == limit) return minted
        val room = (newLimit.burst - handedOut).coerceAtLeast(TokenAmount.ZERO)
        return minted.copy(limit = newLimit, tokens = minOf(minted.tokens, room), mintedMillis = maxOf(minted.mintedMillis, nowMillis + 1))
    }

    /** Moves [amount] out; the caller checked that the bucket holds it. */
    public fun handOut(amount: TokenAmount): TokenBucket = copy(tokens = tokens - amount, handedOut = handedOut + amount)

    /** Settles [amount] that was handed out, of which [returned] comes back unspent. */
    public fun settle(amount: TokenAmount, returned: TokenAmount): TokenBucket =
        copy(handedOut = handedOut - amount, tokens = tokens + returned)

    /** Takes one token for good, or null if there is none. */
    public fun spendOne(): TokenBucket? = if (tokens >= TokenAmount.ONE) copy(tokens = tokens - TokenAmount.ONE) else null

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
