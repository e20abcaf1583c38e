package org.buckthornhub.load.check

import org.buckthornhub.load.check.Histories.append
import org.buckthornhub.load.check.Histories.limited
import org.buckthornhub.load.check.Histories.read
import org.buckthornhub.load.check.Histories.unknown
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** The failover gap and the share of the worst-served organisation. Each attempt of the table takes 5 ms. */
internal class MeasuresTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `measures`(case: MeasureCase) {
        val right = OrganisationRight("org", ratePerSecond = 10.0, burst = 2)
        val evidence = Histories.evidence(case.attempts, logs = emptyList(), right, case.killedMillis)
        assertEquals(case.gapMillis, FailoverGap().longestMillis(evidence), "gap")
        assertEquals(case.worstShare, OrganisationShare().worst(evidence), absoluteTolerance = 0.001, "share")
    }

    private companion object {
        @JvmStatic
        fun cases(): List<MeasureCase> = listOf(
            MeasureCase("no primary killed", listOf(append(1, 0), append(2, 9_000))),
            MeasureCase(
                "from the last write before the kill to the first one after it",
                listOf(append(1, 0), append(2, 1_000), append(3, 2_000, unknown), append(4, 4_000)),
                killedMillis = 1_500,
                gapMillis = 3_000,
                worstShare = 0.75,
            ),
            MeasureCase(
                "longer gaps before the kill don't count",
                listOf(append(1, 0), append(2, 9_000), append(3, 10_000)),
                killedMillis = 9_500,
                gapMillis = 1_000,
            ),
            MeasureCase(
                "writes that never come back: to the end of the run",
                listOf(append(1, 0), append(2, 1_000, unknown), read(null, 6_000)),
                killedMillis = 500,
                gapMillis = 6_000,
                worstShare = 2.0 / 3,
            ),
            MeasureCase(
                "another group does not close the gap",
                listOf(append(1, 0), append(2, 1_000, unknown), append(3, 2_000, group = "h"), append(4, 3_000)),
                killedMillis = 500,
                gapMillis = 3_000,
                worstShare = 0.75,
            ),
            MeasureCase(
                "what is beyond the right is not owed",
                listOf(append(1, 0), append(2, 1), append(3, 2, limited), append(4, 3, limited)),
            ),
            MeasureCase("what is within the right is owed", listOf(append(1, 0), append(2, 1, limited)), worstShare = 0.5),
        )
    }
}
