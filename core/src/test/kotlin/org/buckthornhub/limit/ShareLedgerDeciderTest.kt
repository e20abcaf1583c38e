package org.buckthornhub.limit

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Checks which claims a control leader grants. */
internal class ShareLedgerDeciderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `each claim gets the expected share`(case: LedgerCase) {
        val decider = ShareLedgerDecider(leaseMillis = 1_000)
        val began = decider.decide(ShareLedger(), ShareLedgerMessage.LeadershipAcquired(controlTerm = 2, sinceMillis = 0), 0).state
        case.steps.foldIndexed(began) { index, ledger, step ->
            val decision = decider.decide(ledger, step.message(), step.atMillis)
            val reply = decision.effects.single() as ShareLedgerEffect.Reply
            assertEquals(step.parts, reply.reply.partsPerMillion[LedgerStep.LEDGER_ORGANISATION] ?: 0, "step $index: $step")
            val unleasedMillis = reply.reply.unleasedMillis[LedgerStep.LEDGER_ORGANISATION] ?: 0
            assertEquals(step.unleasedMillis ?: unleasedMillis, unleasedMillis, "step $index: $step")
            decision.state
        }
    }

    private companion object {
        const val HALF = 500_000
        const val THIRD = 333_333

        @JvmStatic
        fun cases(): List<LedgerCase> = listOf(
            LedgerCase(
                "a new leader grants no new lease for one lease duration",
                listOf(LedgerStep(1_000, "a", 0), LedgerStep(1_001, "a", HALF)),
            ),
            LedgerCase(
                "a new leader renews held leases",
                listOf(LedgerStep(10, "a", HALF, held = HALF), LedgerStep(20, "b", HALF, held = HALF)),
            ),
            LedgerCase("a claim with an older term gets nothing", listOf(LedgerStep(10, "a", 0, held = HALF, term = 1))),
            LedgerCase(
                "a zone with an unclaimed share waits until its lease has expired",
                listOf(LedgerStep(10, "a", HALF, held = HALF), LedgerStep(900, "b", 0), LedgerStep(1_100, "b", HALF)),
            ),
            LedgerCase(
                "another daemon of the zone waits until the lease has expired",
                listOf(
                    LedgerStep(2_000, "a", HALF),
                    LedgerStep(2_900, "a", 0, vm = "other"),
                    LedgerStep(3_001, "a", HALF, vm = "other"),
                ),
            ),
            LedgerCase(
                "a restarted daemon waits until the lease of its earlier run has expired",
                listOf(LedgerStep(2_000, "a", HALF), LedgerStep(2_500, "a", 0, epoch = 2), LedgerStep(3_001, "a", HALF, epoch = 2)),
            ),
            LedgerCase(
                "a third zone gets only what the others have confirmed to release",
                listOf(
                    LedgerStep(2_000, "a", HALF),
                    LedgerStep(2_000, "b", HALF),
                    LedgerStep(2_100, "a", THIRD, zones = setOf("a", "b", "c")),
                    LedgerStep(2_110, "b", THIRD, zones = setOf("a", "b", "c")),
                    LedgerStep(2_120, "c", 0, zones = setOf("a", "b", "c")),
                    LedgerStep(2_200, "a", THIRD, held = THIRD, heldRequestedMillis = 2_100, zones = setOf("a", "b", "c")),
                    LedgerStep(2_210, "c", 166_667, zones = setOf("a", "b", "c")),
                    LedgerStep(3_120, "c", THIRD, zones = setOf("a", "b", "c")),
                ),
            ),
            LedgerCase(
                "an unleased share has refilled since the last lease of an earlier leader ended",
                listOf(LedgerStep(1_501, "a", HALF, unleasedMillis = 500), LedgerStep(1_600, "a", HALF, unleasedMillis = 0)),
            ),
            LedgerCase(
                "a returned share has refilled since its own lease ended",
                listOf(
                    LedgerStep(2_000, "a", HALF),
                    LedgerStep(2_000, "b", HALF),
                    LedgerStep(4_000, "a", HALF, vm = "other", unleasedMillis = 999),
                ),
            ),
            LedgerCase(
                "a zone that replaces another one gets no refill that the other may have spent",
                listOf(
                    LedgerStep(2_000, "a", HALF),
                    LedgerStep(2_000, "b", HALF),
                    LedgerStep(3_100, "c", HALF, zones = setOf("b", "c"), unleasedMillis = 99),
                    LedgerStep(3_200, "b", HALF, zones = setOf("b", "c"), unleasedMillis = 199),
                ),
            ),
            LedgerCase(
                "a share of a new size has refilled since the last lease of the old size ended",
                listOf(LedgerStep(2_000, "a", HALF), LedgerStep(3_301, "a", THIRD, zones = setOf("a", "b", "c"), unleasedMillis = 300)),
            ),
        )
    }
}
