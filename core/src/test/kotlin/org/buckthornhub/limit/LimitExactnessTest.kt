package org.buckthornhub.limit

import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Over any interval, the fleet admits at most the burst plus the refill of the interval, under every kind of fault. */
internal class LimitExactnessTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no interval has more admissions than burst and rate allow`(case: ExactnessCase) {
        val records = (0 until case.seeds * seedFactor).flatMap { seed -> runOnce(seed, case.faults) }
        assertEquals(0, records.sumOf { it.overAdmitted })
        assertTrue(records.sumOf { it.admitted } > case.seeds * 20, "the runs admitted something: ${records.sumOf { it.admitted }}")
        assertTrue(records.sumOf { it.refused } > case.seeds, "the runs reached the limit")
    }

    private fun runOnce(seed: Int, faults: FaultPlan): List<LimitOutcome> {
        val random = Random(seed)
        val timing = LimitTiming(leaseMillis = 1_000)
        val zones = random.nextInt(2, 5)
        val limits = List(2) { RateLimit(random.nextLong(5, 400) * 1_000_000, TokenAmount.of(random.nextInt(1, 80))) }
        val fleet =
            SimulatedFleet(FleetPlan(seed, zones = zones, limits = limits.map { minusDrift(it, timing) }, timing = timing, faults = faults))
        val recorders = limits.map { LimitRecorder(it, fleet.time) }
        recorders.forEachIndexed { index, recorder -> overload(fleet, random, index, limits[index], recorder) }
        fleet.time.runUntil(RUN_MICROS)
        return recorders.map { it.record }
    }

    private fun minusDrift(limit: RateLimit, timing: LimitTiming): RateLimit =
        limit.copy(microPerSecond = limit.microPerSecond - limit.microPerSecond * timing.driftPartsPerMillion / 1_000_000)

    // Mixes bursts at one VM, a steady load over all VMs and idle periods, at three times the rate on average.
    private fun overload(fleet: SimulatedFleet, random: Random, index: Int, limit: RateLimit, recorder: LimitRecorder) {
        val meanMicros = 1_000_000_000_000 / (limit.microPerSecond * 3)
        fun next() {
            val isBurst = random.nextInt(100) < 3
            val vm = random.nextInt(fleet.plan.vms)
            repeat(if (isBurst) random.nextInt(1, 60) else 1) {
                recorder.arrived()
                fleet.arrive(if (isBurst) vm else random.nextInt(fleet.plan.vms), OrganisationId("o$index")) { recorder.ended(it) }
            }
            val idleMicros = if (random.nextInt(100) < 1) random.nextLong(1_000_000) else 0
            fleet.time.after(1 + random.nextLong(2 * meanMicros) + idleMicros) { next() }
        }
        next()
    }

    private companion object {
        const val RUN_MICROS = 6_000_000L

        // Multiplies the seeds, for runs longer than in CI: -Dlimit.seedFactor=10.
        val seedFactor = Integer.getInteger("limit.seedFactor", 1)

        @JvmStatic
        fun cases(): List<ExactnessCase> = listOf(
            ExactnessCase("nothing fails", FaultPlan()),
            ExactnessCase("clocks drift", FaultPlan(driftPartsPerMillion = 240)),
            ExactnessCase("messages are lost, duplicated and delayed", FaultPlan(lossPercent = 5, duplicatePercent = 10, slowPercent = 10)),
            ExactnessCase("daemons crash while holding tokens", FaultPlan(restartMillis = 400)),
            ExactnessCase("daemons pause and resume", FaultPlan(pauseMillis = 300)),
            ExactnessCase("zones are partitioned", FaultPlan(partitionMillis = 1_500)),
            ExactnessCase("the control leader changes", FaultPlan(leaderChangeMillis = 700, slowPercent = 5)),
            ExactnessCase("daemons disagree on the share holder", FaultPlan(wrongHolderPercent = 20, restartMillis = 800)),
            ExactnessCase(
                "all faults together",
                FaultPlan(
                    lossPercent = 3,
                    duplicatePercent = 5,
                    slowPercent = 5,
                    restartMillis = 700,
                    pauseMillis = 700,
                    partitionMillis = 3_000,
                    leaderChangeMillis = 1_500,
                    wrongHolderPercent = 10,
                    driftPartsPerMillion = 240,
                ),
                seeds = 120,
            ),
        )
    }
}
