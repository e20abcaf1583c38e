package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/** Number of tokens in millionths; one statement costs [ONE]. Integers keep sums exact. */
@Serializable
@JvmInline
public value class TokenAmount(public val micro: Long) : Comparable<TokenAmount> {
    public operator fun plus(other: TokenAmount): TokenAmount = TokenAmount(micro + other.micro)

    public operator fun minus(other: TokenAmount): TokenAmount = TokenAmount(micro - other.micro)

    public operator fun times(count: Int): TokenAmount = TokenAmount(micro * count)

    override fun compareTo(other: TokenAmount): Int = micro.compareTo(other.micro)

    override fun toString(): String = "$micro micro-tokens"

    public companion object {
        private const val MICRO_PER_TOKEN = 1_000_000L

        public val ZERO: TokenAmount = TokenAmount(0)
        public val ONE: TokenAmount = TokenAmount(MICRO_PER_TOKEN)

        /** Returns an amount of [count] tokens. */
        public fun of(count: Int): TokenAmount = TokenAmount(count * MICRO_PER_TOKEN)
    }
}
