package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.Grant

/**
 * Refill rate and burst of an organisation, over the whole fleet or for a share of it.
 *
 * @property microPerSecond refill rate, in millionths of a token per second
 * @property burst maximum number of tokens, in the bucket and outstanding
 */
@Serializable
public data class RateLimit(
    val microPerSecond: Long,
    val burst: TokenAmount,
) {
    /** Returns the given part of this limit, rounded down so that the parts never add up to more than the whole. */
    public fun part(partsPerMillion: Int): RateLimit = RateLimit(
        microPerSecond = microPerSecond * partsPerMillion / MILLION,
        burst = TokenAmount(burst.micro * partsPerMillion / MILLION),
    )

    /** Returns the time to refill [amount] in ms, rounded up, at most [NEVER_MILLIS]. */
    public fun millisToRefill(amount: TokenAmount): Long {
        if (microPerSecond <= 0) return NEVER_MILLIS
        return ((amount.micro * MILLIS_PER_SECOND + microPerSecond - 1) / microPerSecond).coerceIn(0, NEVER_MILLIS)
    }

    public companion object {
        private const val MILLION = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** Refill time at a rate of zero; one hour. */
        public const val NEVER_MILLIS: Long = 3_600_000

        /** Returns the limit of [grant], with the rate reduced by [driftPartsPerMillion] to allow for a fast clock. */
        public fun of(grant: Grant, driftPartsPerMillion: Int): RateLimit {
            val micro = (grant.ratePerSecond * MILLION).toLong()
            return RateLimit(micro - micro / MILLION * driftPartsPerMillion - driftPartsPerMillion, TokenAmount.of(grant.burst)).floored()
        }

        private fun RateLimit.floored() = copy(microPerSecond = microPerSecond.coerceAtLeast(0))
    }
}
