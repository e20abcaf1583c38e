package org.buckthornhub.quota

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertTrue

/** Organisations below their limit are hardly ever refused, wherever their callers are; those above it stay within it. */
internal class LimitSplitTest {
    private val cases = listOf(
        LimitSplitCase("callers on all daemons", maxRefusedPercent = 0.5),
        LimitSplitCase("a small organisation", ratePerSecond = 8.0, maxRefusedPercent = 3.0),
        LimitSplitCase("callers that move", skew = { daemon, second ->
            if (daemon ==
                second / 4 % 8
            ) {
                10.0
            } else {
                1.0
            }
        }, maxRefusedPercent = 0.5),
        LimitSplitCase("no leader for a second and a half", partitioned = { _, second -> second == 9 }, maxRefusedPercent = 1.0),
        LimitSplitCase(
            "a quarter of the daemons partitioned, with their callers",
            partitioned = { daemon, second -> daemon < 2 && second in 8..12 },
            maxRefusedPercent = 3.0,
        ),
        LimitSplitCase(
            "a quarter of the daemons partitioned, their callers redirected",
            skew = { daemon, second -> if (daemon < 2 && second in 9..12) 0.01 else 1.0 },
            partitioned = { daemon, second -> daemon < 2 && second in 8..12 },
            maxRefusedPercent = 1.0,
        ),
        LimitSplitCase("overload", load = { second -> if (second < 5) 0.2 else 5.0 }),
        LimitSplitCase("overload that moves", load = { 3.0 }, skew = { daemon, second -> if (daemon == second % 8) 20.0 else 1.0 }),
        LimitSplitCase("overload at partitioned daemons", load = { 4.0 }, partitioned = { daemon, second -> daemon < 4 && second > 6 }),
        LimitSplitCase("overload by a small organisation", ratePerSecond = 5.0, load = { second -> if (second % 6 < 3) 0.0 else 8.0 }),
        LimitSplitCase("baseline: shares of 94 daemons", USUAL_RATE, daemons = 94, isSplit = true, minRefusedPercent = 2.0),
        LimitSplitCase("24 daemons", USUAL_RATE, daemons = 24, maxRefusedPercent = 0.1),
        LimitSplitCase("94 daemons", USUAL_RATE, daemons = 94, maxRefusedPercent = 0.1),
        LimitSplitCase("300 daemons", USUAL_RATE, daemons = 300, maxRefusedPercent = 0.1),
        LimitSplitCase("94 daemons, a small organisation", ratePerSecond = 3.0, daemons = 94, maxRefusedPercent = 0.1),
        LimitSplitCase("94 daemons, callers that move", USUAL_RATE, daemons = 94, maxRefusedPercent = 0.1, skew = { daemon, second ->
            if (daemon / 16 == second % 6) 10.0 else 1.0
        }),
        LimitSplitCase(
            "94 daemons, no leader for a second",
            daemons = 94,
            partitioned = { _, second -> second == 9 },
            maxRefusedPercent = 1.0,
        ),
        LimitSplitCase(
            "94 daemons, a zone partitioned with its callers",
            daemons = 94,
            partitioned = { daemon, second -> daemon < 16 && second in 8..12 },
            // No more than the callers of that zone, which have a twenty-third of the operations.
            maxRefusedPercent = 6.0,
        ),
        LimitSplitCase(
            "94 daemons, a zone partitioned, its callers redirected",
            daemons = 94,
            skew = { daemon, second -> if (daemon < 16 && second in 9..12) 0.01 else 1.0 },
            partitioned = { daemon, second -> daemon < 16 && second in 8..12 },
            maxRefusedPercent = 1.0,
        ),
        LimitSplitCase("94 daemons, overload", USUAL_RATE, daemons = 94, load = { second -> if (second < 5) 0.2 else 8.0 }),
        LimitSplitCase(
            "94 daemons, overload while there is no leader",
            USUAL_RATE,
            daemons = 94,
            load = { second -> if (second in 9..10) 8.0 else 0.6 },
            partitioned = { _, second -> second in 9..10 },
        ),
        LimitSplitCase(
            "94 daemons, overload at partitioned ones",
            USUAL_RATE,
            daemons = 94,
            load = { 4.0 },
            partitioned = { daemon, second -> daemon < 32 && second > 6 },
        ),
        LimitSplitCase(
            "94 daemons, overload of a large organisation, a third partitioned",
            ratePerSecond = 90.0,
            daemons = 94,
            load = { 4.0 },
            partitioned = { daemon, second -> daemon < 31 && second > 6 },
        ),
        LimitSplitCase(
            "94 daemons, overload of a large organisation while there is no leader",
            ratePerSecond = 90.0,
            daemons = 94,
            load = { second -> if (second in 9..10) 8.0 else 0.6 },
            partitioned = { _, second -> second in 9..10 },
        ),
    )

    @TestFactory
    fun `the fleet enforces the limit and rarely refuses below it`(): List<DynamicTest> = cases.flatMap { case ->
        SEEDS.flatMap { seed -> listOf(seed to false, seed to true) }.map { (seed, adapts) ->
            DynamicTest.dynamicTest("$case, seed $seed" + if (adapts) ", adapting to the load" else "") {
                val outcome = LimitSplitSimulation(case, seed, adapts).run()
                val allowed =
                    (case.ratePerSecond * WINDOW_SECONDS + case.ratePerSecond) * OVERRUN + LimitSplitSimulation.TOLERATED_OPERATIONS
                val seen = outcome.maxInWindow(WINDOW_SECONDS * 1_000L)
                assertTrue(seen <= allowed, "$seen operations in a window that may hold $allowed")
                case.minRefusedPercent?.let { min ->
                    assertTrue(outcome.wrongfulRefusalPercent >= min, "baseline: only ${outcome.wrongfulRefusalPercent} % were refused")
                }
                case.maxRefusedPercent?.let { max ->
                    assertTrue(
                        outcome.wrongfulRefusalPercent <= max,
                        "${outcome.wrongfulRefusalPercent} % were refused below the limit",
                    )
                }
            }
        }
    }

    private companion object {
        val SEEDS = 1..5

        /** Rate of an organisation of middle size, in operations per second. */
        const val USUAL_RATE = 10.0

        /** Window over which operators check limits, in s. */
        const val WINDOW_SECONDS = 5

        /** Overrun that operators tolerate, besides [LimitSplitSimulation.TOLERATED_OPERATIONS] operations. */
        const val OVERRUN = 1.1
    }
}
