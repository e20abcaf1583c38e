package org.buckthornhub.instancepool.waiting

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays loads on one daemon. Fails on the order by priority and arrival alone, which lets one organisation take every connection. */
internal class WaitingTest {
    @ParameterizedTest
    @MethodSource("comparisons")
    fun `decisions that follow the load serve it better`(case: WaitingComparison) {
        val measured = sum(case.load, WaitingSettings.ADAPTIVE, case.measure.second)
        val naive = sum(case.load, case.naive.second, case.measure.second)
        assertTrue(naive > 0 && measured <= naive * case.factor, "$measured compared with $naive")
    }

    // Guards against admission control that refuses what would have been served.
    @ParameterizedTest
    @MethodSource("bearableLoads")
    fun `nothing is refused where the connections suffice`(case: WaitingCase) {
        assertEquals(0.0, sum(case, WaitingSettings.ADAPTIVE) { it.refused + it.missed })
    }

    private fun sum(case: WaitingCase, settings: WaitingSettings, measure: (WaitingOutcome) -> Number): Double =
        SEEDS.sumOf { seed -> known.getOrPut(Triple(case.name, settings, seed)) { replay(case, settings, seed) }.let(measure).toDouble() }

    private fun replay(case: WaitingCase, settings: WaitingSettings, seed: Int): WaitingOutcome =
        WaitingSimulation(case, settings, seed).run().also { println("${case.name} | $settings | seed $seed | $it") }

    private companion object {
        private val SEEDS = 1..2
        private val known = mutableMapOf<Triple<String, WaitingSettings, Int>, WaitingOutcome>()
        private val onPrimary = RequestKind(50.0, 11.0, 200, 4_000, priority = 0, needsPrimary = true, transactionPart = 0.25)
        private val bounded = RequestKind(40.0, 55.0, 1_500, 12_000, priority = 2)
        private val ownWrites = RequestKind(100.0, 33.0, 400, 4_000, priority = 1)
        private val mix = listOf(onPrimary, bounded, ownWrites)
        private val flood = WaitingCase("one organisation sends 7.5 times its usual rate", mix, flood = 7.5)
        private val floodInBurst = WaitingCase("the same during a burst of 1.7 times from all", mix, flood = 7.5, burst = 1.7)
        private val burst = WaitingCase("a burst of 1.7 times the usual rate from all", mix, burst = 1.7)
        private val lostPrimary = WaitingCase("the primary is lost for 2 s", mix, isPrimaryLost = true)
        private val lowPriority = WaitingCase("all of low priority", listOf(bounded.copy(perSecond = 160.0)), burst = 1.7)
        private val transactions = WaitingCase(
            "transactions of 12 statements among single ones",
            listOf(onPrimary.copy(transactionPart = 0.2), bounded, ownWrites),
            transactionStatements = 12,
            burst = 1.7,
        )

        private val present = "the present decisions" to WaitingSettings()
        private val byPriority = "the present order with the other decisions" to WaitingSettings.ADAPTIVE.copy(order = PriorityOrder)
        private val fixedReturns = "fixed times of return" to WaitingSettings.ADAPTIVE.copy(schedulesReturns = false)
        private val fairOnly = "the fair order without rejection" to WaitingSettings(FairOrder)
        private val refused = "refusals of ordinary organisations" to { outcome: WaitingOutcome -> outcome.refused }
        private val missed = "missed objectives of ordinary organisations" to { outcome: WaitingOutcome -> outcome.missed }
        private val refusedBegun = "refusals of begun transactions" to { outcome: WaitingOutcome -> outcome.refusedBegun }
        private val wasted = "wasted waits" to { outcome: WaitingOutcome -> outcome.wasted }

        @JvmStatic
        fun bearableLoads(): List<WaitingCase> = listOf(
            WaitingCase("half of the usual load", mix.map { it.copy(perSecond = it.perSecond / 2) }),
            WaitingCase("the usual load", mix),
        )

        @JvmStatic
        fun comparisons(): List<WaitingComparison> = listOf(
            WaitingComparison(flood, present, refused, 0.1),
            WaitingComparison(flood, present, missed, 0.1),
            WaitingComparison(flood, present, refusedBegun, 0.1),
            WaitingComparison(flood, byPriority, missed, 0.3),
            WaitingComparison(floodInBurst, present, missed, 0.3),
            WaitingComparison(floodInBurst, byPriority, missed, 0.3),
            WaitingComparison(floodInBurst, present, wasted, 0.3),
            WaitingComparison(burst, present, refused, 0.4),
            WaitingComparison(burst, present, missed, 1.0),
            WaitingComparison(burst, present, wasted, 0.5),
            WaitingComparison(burst, fairOnly, wasted, 0.3),
            WaitingComparison(lostPrimary, present, refused, 0.4),
            WaitingComparison(lostPrimary, present, refusedBegun, 0.1),
            WaitingComparison(lostPrimary, fixedReturns, refused, 0.8),
            WaitingComparison(lowPriority, present, refused, 0.5),
            WaitingComparison(lowPriority, present, wasted, 0.3),
            WaitingComparison(transactions, present, refused, 0.4),
            WaitingComparison(transactions, present, refusedBegun, 0.1),
            WaitingComparison(transactions, present, wasted, 0.3),
        )
    }
}
