package org.buckthornhub.horizon

import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

internal class CommitHorizonTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the floor is the lowest position that satisfies the read`(case: FloorCase) {
        val horizon = case.samples.fold(CommitHorizon()) { horizon, sample -> horizon.with(sample) }
        assertEquals(case.floor, horizon.floorAt(atMillis = 10_000, maxAgeMillis = 2_000, case.own))
    }

    @Test
    fun `the floor covers every commit older than the allowed age, whatever the times of the samples`() {
        val random = Random(5)
        repeat(300) {
            var horizon = CommitHorizon()
            // Commit n is acknowledged at the n-th of these times.
            val commits = (1..60).runningFold(0L) { at, _ -> at + random.nextLong(1, 200) }
            var at = 0L
            while (at < 8_000) {
                at += random.nextLong(20, 700)
                horizon = horizon.with(HorizonSample(at, position(1, commits.count { it < at }.toLong())))
                val floor = horizon.floorAt(at + 100, maxAgeMillis = 1_500) ?: continue
                val required = commits.count { it < at + 100 - 1_500 }.toLong()
                assertEquals(true, floor.index.value >= required, "a read at ${at + 100} may miss a commit")
            }
            assertNotNull(horizon.newest)
        }
    }

    private companion object {
        private fun position(term: Long, index: Long) = Position(Term(term), LogPosition(index))

        private fun sample(at: Long, term: Long, index: Long) = HorizonSample(at, position(term, index))

        @JvmStatic
        fun cases(): List<FloorCase> = listOf(
            FloorCase("no samples", emptyList(), null, null),
            FloorCase("the only sample is too old", listOf(sample(7_999, 1, 5)), null, null),
            FloorCase(
                "the oldest sample that is recent enough",
                listOf(sample(7_000, 1, 5), sample(8_500, 1, 6), sample(9_500, 1, 9)),
                null,
                position(1, 6),
            ),
            FloorCase(
                "an own commit beyond the sample",
                listOf(sample(8_500, 1, 6), sample(9_000, 1, 7)),
                position(1, 8),
                position(1, 8),
            ),
            FloorCase(
                "an own commit before the sample",
                listOf(sample(8_500, 1, 6)),
                position(1, 3),
                position(1, 6),
            ),
            FloorCase(
                "an own commit that a promotion may have discarded",
                listOf(sample(8_500, 1, 6), sample(9_500, 2, 7)),
                position(1, 9),
                position(2, 7),
            ),
            FloorCase("a sample of an older position is ignored", listOf(sample(8_500, 2, 6), sample(9_500, 1, 9)), null, position(2, 6)),
        )
    }
}
