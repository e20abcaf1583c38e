package org.buckthornhub.limit

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares a bucket on a ms clock with the exact one in true time. */
internal class TokenBucketTest {
    @ParameterizedTest
    @ValueSource(longs = [1, 7, 40, 999, 2_500, 50_000])
    fun `a bucket never spends what the exact one lacks`(perSecond: Long) {
        val spent = (0 until SEEDS).sumOf { seed ->
            runOnce(Random(seed), RateLimit(perSecond * 1_000_000, TokenAmount.of(seed % 90 + 50)))
        }
        assertTrue(spent > SEEDS, "the runs spent $spent tokens")
    }

    // Clusters of attempts around the ticks of the clock, where a bucket on a ms clock could admit too early.
    private fun runOnce(random: Random, limit: RateLimit): Int {
        val exact = ExactBucket(limit)
        val start = TokenBucket(limit, refilledMillis = 0, tokens = limit.burst - TokenAmount.ONE).refilledAt(FULL_MILLIS)
        var bucket = start
        var micros = FULL_MILLIS * 1_000 + random.nextLong(1_000)
        var spent = 0
        repeat(ATTEMPTS) {
            micros += if (random.nextInt(40) == 0) random.nextLong(300_000) else random.nextLong(30)
            bucket = bucket.refilledAt(micros / 1_000)
            val next = bucket.spendOne()
            if (next != null) {
                bucket = next
                spent++
                assertTrue(exact.spend(micros), "$limit at $micros us")
            }
        }
        return spent
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 3, 7, 11, 333])
    fun `refilling in steps loses nothing to rounding`(microPerSecond: Long) {
        val start = TokenBucket(RateLimit(microPerSecond, TokenAmount.of(1_000)), refilledMillis = 0)
        val end = (1L..100_000).fold(start) { bucket, millis -> bucket.refilledAt(millis) }
        assertEquals(microPerSecond * 100, end.tokens.micro)
    }

    private companion object {
        const val SEEDS = 60
        const val ATTEMPTS = 2_000

        // Time after which both buckets are full.
        const val FULL_MILLIS = 2_000L
    }
}
