package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Over any interval, the fleet admits at most the burst and what the rate allows, whatever fails. */
internal class LimitExactnessTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no interval has more admissions than burst and rate allow`(case: ExactnessCase) {
        val records = (0 until case.seeds * seedFactor).flatMap { seed -> runOnce(seed, case.faults) }
        assertEquals(0, records.sumOf { it.overAdmitted })
        assertTrue(records.sumOf { it.admitted } > case.seeds * 20, "the runs admitted something: ${records.sumOf { it.admitted }}")
        assertTrue(records.sumOf { it.refused } > case.seeds, "the runs were at their limit")
    }

    private fun runOnce(seed: Int, faults: FaultPlan): List<LimitRecord> {
        val random = Random(seed)
        val timing = LimitTiming(leaseMillis = 1_000)
        val zones = random.nextInt(2, 5)
        val limits = List(2) { RateLimit(random.nextLong(5, 400) * 1_000_000, TokenAmount.of(random.nextInt(1, 80))) }
        val fleet =
            SimulatedFleet(FleetPlan(seed, zones = zones, limits = limits.map { lessDrift(it, timing) }, timing = timing, faults = faults))
        val recorders = limits.map { LimitRecorder(it, fleet.time) }
        recorders.forEachIndexed { index, recorder -> flood(fleet, random, index, limits[index], recorder) }
        fleet.time.runUntil(RUN_MICROS)
        return recorders.map { it.record }
    }

    private fun lessDrift(limit: RateLimit, timing: LimitTiming): RateLimit =
        limit.copy(microPerSecond = limit.microPerSecond - limit.microPerSecond * timing.driftPartsPerMillion / 1_000_000)

    // Bursts at one VM, then a steady flood over all of them, then silence, at three times the rate on average.
    private fun flood(fleet: SimulatedFleet, random: Random, index: Int, limit: RateLimit, recorder: LimitRecorder) {
        val meanMicros = 1_000_000_000_000 / (limit.microPerSecond * 3)
        fun next() {
            val isBurst = random.nextInt(100) < 3
            val vm = random.nextInt(fleet.plan.vms)
            repeat(if (isBurst) random.nextInt(1, 60) else 1) {
                recorder.arrived()
                fleet.arrive(if (isBurst) vm else random.nextInt(fleet.plan.vms), OrganisationId("o$index")) { recorder.ended(it) }
            }
            val silence = if (random.nextInt(100) < 1) random.nextLong(1_000_000) else 0
            fleet.time.after(1 + random.nextLong(2 * meanMicros) + silence) { next() }
        }
        next()
    }

    private companion object {
        const val RUN_MICROS = 6_000_000L

        // More seeds than CI has time for: -Dlimit.seedFactor=10.
        val seedFactor = Integer.getInteger("limit.seedFactor", 1)

        @JvmStatic
        fun cases(): List<ExactnessCase> = listOf(
            ExactnessCase("nothing fails", FaultPlan()),
            ExactnessCase("clocks drift", FaultPlan(driftPartsPerMillion = 240)),
            ExactnessCase("messages are lost, doubled and late", FaultPlan(lossPercent = 5, doublePercent = 10, slowPercent = 10)),
            ExactnessCase("daemons die with tokens in hand", FaultPlan(deathMillis = 400)),
            ExactnessCase("daemons pause and wake", FaultPlan(pauseMillis = 300)),
            ExactnessCase("zones are cut off", FaultPlan(cutMillis = 1_500)),
            ExactnessCase("control leaders change", FaultPlan(leaderMillis = 700, slowPercent = 5)),
            ExactnessCase("daemons disagree on the holder", FaultPlan(wrongHolderPercent = 20, deathMillis = 800)),
            ExactnessCase(
                "all at once",
                FaultPlan(
                    lossPercent = 3,
                    doublePercent = 5,
                    slowPercent = 5,
                    deathMillis = 700,
                    pauseMillis = 700,
                    cutMillis = 3_000,
                    leaderMillis = 1_500,
                    wrongHolderPercent = 10,
                    driftPartsPerMillion = 240,
                ),
                seeds = 120,
            ),
        )
    }
}
