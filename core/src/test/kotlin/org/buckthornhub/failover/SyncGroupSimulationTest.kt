package org.buckthornhub.failover

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Commits that are acknowledged between the question to the replicas and the promotion, and that the promoted one lacks. */
internal class SyncGroupSimulationTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no promotion loses an acknowledged commit`(case: SyncGroupCase) {
        val promotions = (1..SEEDS).mapNotNull { seed -> SyncGroupSimulation(case, seed).run().promoted?.let { seed to it } }
        assertEquals(
            emptyList(),
            promotions.filter { (_, promotion) ->
                promotion.first < promotion.second
            },
            "seed, received, acknowledged",
        )
        // A guard that never promotes anything would hold the rule, too.
        assertTrue(promotions.size * 2 > SEEDS, "only ${promotions.size} of $SEEDS groups got a new primary")
    }

    private companion object {
        const val SEEDS = 300

        @JvmStatic
        fun cases(): List<SyncGroupCase> = listOf(
            SyncGroupCase("the primary ends", replicas = 2, syncReplicas = 1, isPrimaryCrashed = true),
            SyncGroupCase("the primary shuts down", replicas = 2, syncReplicas = 1, isPrimaryCrashed = false),
            SyncGroupCase("it ends, replicas are busy", replicas = 2, syncReplicas = 1, isPrimaryCrashed = true, busyShare = 0.6),
            SyncGroupCase("it shuts down, replicas are busy", replicas = 2, syncReplicas = 1, isPrimaryCrashed = false, busyShare = 0.6),
            SyncGroupCase("it ends, answers are lost", replicas = 3, syncReplicas = 1, isPrimaryCrashed = true, silentShare = 0.3),
            SyncGroupCase("it shuts down, answers are lost", replicas = 3, syncReplicas = 1, isPrimaryCrashed = false, silentShare = 0.3),
            SyncGroupCase("two of four, it ends", 4, syncReplicas = 2, isPrimaryCrashed = true, silentShare = 0.2, busyShare = 0.2),
            SyncGroupCase("two of four, it shuts down", 4, syncReplicas = 2, isPrimaryCrashed = false, silentShare = 0.2, busyShare = 0.2),
        )
    }
}
