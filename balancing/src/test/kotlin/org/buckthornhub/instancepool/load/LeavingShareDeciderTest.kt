package org.buckthornhub.instancepool.load

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a share that jumps, swings around the price, or does not return. */
internal class LeavingShareDeciderTest {
    private val decider = LeavingShareDecider(priceMillis = 15, seed = 1)

    @ParameterizedTest(name = "share {0}, excess {1} ms here and {2} ms elsewhere, {3} statements: share {4}")
    @CsvSource(
        "0.0, 0, 0, 3, 0.0",
        "0.0, 18, 0, 3, 0.0",
        "0.0, 25, 0, 3, 0.05",
        "0.0, 900, 0, 3, 0.2",
        "0.0, 900, 0, 0.1, 0.0",
        "0.8, 900, 0, 3, 0.9",
        "0.5, 17, 0, 3, 0.5",
        "0.5, 12, 0, 3, 0.5",
        "0.5, 5, 0, 3, 0.42",
        "0.5, 5, 0, 0, 0.42",
        "0.05, 0, 200, 3, 0.0",
    )
    fun `the share changes in bounded steps, and not at all near the price`(
        share: Double,
        homeMillis: Double,
        awayMillis: Double,
        weight: Double,
        expected: Double,
    ) {
        val next = decider.next(LeavingShare(share), homeMillis, awayMillis, weight, 10_000)
        assertEquals(expected, next.share, absoluteTolerance = 1e-9)
    }

    @Test
    fun `daemons take their steps at different times`() {
        val due = (1L..89L).map { seed -> firstStepMillis(LeavingShareDecider(15, seed)) }
        assertTrue(due.min() >= 250 && due.max() < 450 && due.toSet().size > 40, "$due")
    }

    private fun firstStepMillis(decider: LeavingShareDecider): Long =
        (0L..1_000L).first { decider.next(LeavingShare(), 900.0, 0.0, 3.0, it).share > 0 }
}
