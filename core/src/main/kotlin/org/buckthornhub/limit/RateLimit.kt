package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.organisation.Grant

/**
 * What an organisation may use over the whole fleet, or a part of it.
 *
 * @property microPerSecond tokens minted a second, in millionths
 * @property burst most tokens that may exist at once
 */
@Serializable
public data class RateLimit(
    val microPerSecond: Long,
    val burst: TokenAmount,
) {
    /** The part of this limit that [partsPerMillion] names, rounded down so that parts never sum to more. */
    public fun part(partsPerMillion: Int): RateLimit = RateLimit(
        microPerSecond = microPerSecond * partsPerMillion / MILLION,
        burst = TokenAmount(burst.micro * partsPerMillion / MILLION),
    )

    /** Time to mint [amount] at this rate, rounded up. */
    public fun millisToMint(amount: TokenAmount): Long {
        if (microPerSecond <= 0) return NEVER_MILLIS
        return ((amount.micro * MILLIS_PER_SECOND + microPerSecond - 1) / microPerSecond).coerceIn(0, NEVER_MILLIS)
    }

    public companion object {
        private const val MILLION = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L

        /** Stands for a rate of zero; one hour. */
        public const val NEVER_MILLIS: Long = 3_600_000

        /** The limit of [grant], less [driftPartsPerMillion] of the rate for a clock that runs fast. */
        public fun of(grant: Grant, driftPartsPerMillion: Int): RateLimit {
            val micro = (grant.ratePerSecond * MILLION).toLong()
            return RateLimit(micro - micro / MILLION * driftPartsPerMillion - driftPartsPerMillion, TokenAmount.of(grant.burst)).floored()
        }

        private fun RateLimit.floored() = copy(microPerSecond = microPerSecond.coerceAtLeast(0))
    }
}
