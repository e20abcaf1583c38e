package org.buckthornhub.instancepool

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Guards against measured load that serves a fleet worse than the fixed estimate, sends reads away needlessly, or moves all at once. */
internal class FleetSimulationTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `measured load serves the fleet as expected`(case: FleetCase) {
        for (seed in 1..SEEDS) {
            val fixed = FleetSimulation(case, adaptsToLoad = false, seed).run()
            val measured = FleetSimulation(case, adaptsToLoad = true, seed).run()
            println("$case, seed $seed\n  fixed:    $fixed\n  measured: $measured")
            assertEquals(emptyList(), violations(case.expected, fixed, measured), "seed $seed\nfixed: $fixed\nmeasured: $measured")
        }
    }

    private fun violations(expected: FleetExpectation, fixed: FleetOutcome, measured: FleetOutcome) = listOf(
        exceeds("mean", measured.meanMillis, expected.maxMeanOfFixed?.let { it * fixed.meanMillis }),
        exceeds("p95", measured.p95Millis, expected.maxP95OfFixed?.let { it * fixed.p95Millis }),
        exceeds("lost", measured.lost.toDouble(), expected.maxLostOfFixed?.let { it * fixed.lost }),
        exceeds("failed", measured.failed.toDouble(), expected.maxFailedOfFixed?.let { it * fixed.failed }),
        exceeds("herd", measured.herdAt("g0"), expected.maxHerd),
        exceeds("cross-zone", measured.crossZone, expected.maxCrossZone),
        exceeds("cross-zone at the end", measured.returned, expected.maxReturned),
    ).filterNotNull()

    private fun exceeds(name: String, value: Double, bound: Double?) = name.takeIf { bound != null && value > bound }

    private companion object {
        private val SEEDS = Integer.getInteger("fleet.seeds", 1)

        private fun between(millis: Long, from: Long = 4_000, to: Long = 10_500) = millis in from until to

        private fun during(fault: Double, usual: Double): (String, Long) -> Double =
            { name, now -> if (name == "g0b" && between(now, 4_000, 12_000)) fault else usual }

        @JvmStatic
        fun cases(): List<FleetCase> = listOf(
            FleetCase("usual load", expected = FleetExpectation(maxMeanOfFixed = 1.02, maxCrossZone = 0.01, maxReturned = 0.02)),
            FleetCase(
                "1.7 times the usual load everywhere",
                load = 1.7,
                expected = FleetExpectation(maxMeanOfFixed = 0.9, maxP95OfFixed = 0.8, maxCrossZone = 0.02, maxReturned = 0.03),
            ),
            FleetCase(
                "2.6 times the usual load everywhere",
                load = 2.6,
                expected = FleetExpectation(maxMeanOfFixed = 0.8, maxP95OfFixed = 0.8, maxLostOfFixed = 0.3, maxCrossZone = 0.2),
            ),
            FleetCase(
                "demand of one zone at 2 times the others",
                load = 1.7,
                demand = { zone, now -> if (zone == "a" && between(now, 4_000, 12_000)) 2.0 else 1.0 },
                expected = FleetExpectation(0.8, 0.8, maxLostOfFixed = 0.4, maxCrossZone = 0.2, maxReturned = 0.08),
            ),
            // The fixed estimate sends 40 % of the reads away at all times, and so has a part of this load spread before it comes.
            FleetCase(
                "all callers of zone a move to zone b for 6.5 s",
                load = 1.7,
                demand = { zone, now ->
                    if (!between(now)) {
                        1.0
                    } else if (zone == "a") {
                        0.0
                    } else if (zone == "b") {
                        2.0
                    } else {
                        1.0
                    }
                },
                toMillis = 10_500,
                expected = FleetExpectation(maxMeanOfFixed = 1.25, maxCrossZone = 0.15, maxReturned = 0.08),
            ),
            FleetCase(
                "an instance 5 times slower",
                slowness = during(5.0, 1.0),
                expected = FleetExpectation(0.9, 1.0, maxLostOfFixed = 0.2, maxCrossZone = 0.08, maxReturned = 0.06),
            ),
            FleetCase(
                "an instance fails 14 %",
                failing = during(0.14, 0.0),
                expected = FleetExpectation(1.0, 1.0, maxFailedOfFixed = 0.7, maxCrossZone = 0.05, maxReturned = 0.03),
            ),
            FleetCase(
                "an instance is up and down every 1.4 s",
                isUp = { name, now -> name != "g0b" || !between(now, 4_000, 12_000) || now / 700 % 2 == 0L },
                expected = FleetExpectation(1.0, 1.0, maxCrossZone = 0.08, maxReturned = 0.04),
            ),
            FleetCase(
                "a zone's only instance is lost",
                isUp = { name, now -> name != "g0b" || !between(now, 4_000, 12_000) },
                expected = FleetExpectation(1.0, 1.0, maxCrossZone = 0.1, maxReturned = 0.04, maxHerd = 0.75),
            ),
            FleetCase(
                "a false good health answer: connections are accepted and every statement fails",
                failing = during(1.0, 0.0),
                expected = FleetExpectation(0.95, 0.8, maxFailedOfFixed = 0.3, maxCrossZone = 0.1, maxReturned = 0.04),
            ),
            FleetCase(
                "a false bad health answer: most connections are refused and every statement is served",
                accepts = { name, now -> name != "g0b" || !between(now, 4_000, 12_000) || now % 500 < 100 },
                expected = FleetExpectation(1.0, 1.0, maxCrossZone = 0.1, maxReturned = 0.04),
            ),
        )
    }
}
