package org.buckthornhub.quota

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays the measured flood of docs/design/limits.md, with and without the behaviour that considers the load. */
internal class FloodReplayTest {
    private val cases = listOf(
        FloodCase("7.5 times the usual load", load = FloodCase.flood(7.5), wrongful = 60.0),
        FloodCase(
            "the same, a tenth reaches no instance",
            load = FloodCase.flood(7.5),
            refundShare = 0.1,
            wrongful = 250.0,
            baseline = 1_200.0,
        ),
        FloodCase("3 times the usual load", load = FloodCase.flood(3.0), wrongful = 30.0, baseline = 100.0),
        FloodCase("the usual load, around a change of leader", watched = 2_500L..8_000L, wrongful = 10.0),
        FloodCase("the first second of the fleet", startedMillis = -20, watched = FIRST_SECOND, load = {
            0.9
        }, wrongful = 0.5, baseline = 5.0),
    )

    @TestFactory
    fun `capacity is used in a flood, and announced times can be used`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest("$case") {
            val (before, after) = listOf(false, true).map { adapts -> SEEDS.map { FloodReplay(case, adapts, it).run() } }
            println(summary(case, before) + "\n" + summary(case, after))
            assertTrue(wrongful(case, before) >= case.baseline, "baseline: only ${wrongful(case, before)} refusals with a token left")
            assertTrue(wrongful(case, after) <= case.wrongful, "${wrongful(case, after)} refusals with a token left")
            val unusable = after.flatMap { it.announced }.filter { it.second in UNUSABLE_MILLIS }
            assertEquals(emptyList(), unusable, "announced times past what callers can use")
            (before + after).forEach { assertTrue(it.maxInWindow(WINDOW_MILLIS) <= case.allowed) }
        }
    }

    @TestFactory
    fun `no window holds more than the quota around changes of leader`(): List<DynamicTest> = RANDOM_SEEDS.map { seed ->
        DynamicTest.dynamicTest("seed $seed") {
            val case = randomCase(seed)
            val seen = FloodReplay(case, adapts = true, seed).run().maxInWindow(WINDOW_MILLIS)
            assertTrue(seen <= case.allowed, "$seen operations in a window that may hold ${case.allowed}: $case")
        }
    }

    @Test
    fun `baseline - the quota is exceeded if the fallback ignores what was left`() {
        val exceeded = RANDOM_SEEDS.map { it to randomCase(it) }.count { (seed, case) ->
            FloodReplay(case, adapts = false, seed).run().maxInWindow(WINDOW_MILLIS) > case.allowed
        }
        assertTrue(exceeded > 0)
    }

    // Floods that begin around the loss of the leader, while some daemons reach no leader at all.
    private fun randomCase(seed: Int): FloodCase {
        val random = Random(seed)
        val rate = listOf(5.0, 14.0, 48.0, 100.0, 150.0).random(random)
        val burst = rate * listOf(0.5, 1.0, 2.0).random(random)
        val flood = random.nextLong(3_000, 8_000).let { it..it + 6_500 }
        val factor = random.nextDouble(1.5, 15.0)
        val frozen = (flood.first + random.nextLong(-500, 3_000)).let { it..it + 7_000 }
        val (cut, cutMillis) = random.nextInt(0, 30) to random.nextLong(3_000, 9_000).let { it..it + 4_000 }
        return FloodCase(
            "rate $rate, burst $burst, flood of $factor at $flood, leader frozen at $frozen, $cut daemons cut off at $cutMillis",
            rate,
            burst,
            load = { if (it in flood) factor else FloodCase.USUAL_LOAD },
            frozen,
            partitioned = { daemon, millis -> daemon < cut && millis in cutMillis },
            refundShare = random.nextDouble(0.0, 0.2),
        )
    }

    private fun wrongful(case: FloodCase, runs: List<FloodOutcome>) =
        runs.map { run -> run.wrongfulMillis.count { it in case.watched } }.average()

    private fun summary(case: FloodCase, runs: List<FloodOutcome>): String {
        val means = listOf<(FloodOutcome) -> Int>(
            { it.admittedMillis.size },
            { it.failed },
            { it.announced.size },
            { it.wrongfulMillis.size },
            { it.issued },
            { it.returned },
            { it.lost },
        ).map { value -> runs.map(value).average().toInt() }
        val medians = (8_000L..14_000L step 1_000).map { runs.first().medianAnnounced(it) }
        return "$case: admitted, failed, refused, with a token left, issued, returned, lost: $means; announced from 8 s: $medians"
    }

    private companion object {
        val SEEDS = 1..5
        val FIRST_SECOND = 0L..1_000L
        val RANDOM_SEEDS = 1..150

        /** Window over which operators check limits. */
        const val WINDOW_MILLIS = 5_000L

        /**
         * Announced times at which a token comes too late. Operations that arrive during a round trip are announced tokens that follow
         * those of the answer, some spacings later; the longest time says that there is no token to expect.
         */
        val UNUSABLE_MILLIS = UsableReturns.USABLE_MILLIS + 100 until BucketRate.MAX_RETRY_AFTER_MILLIS - 100
    }
}
