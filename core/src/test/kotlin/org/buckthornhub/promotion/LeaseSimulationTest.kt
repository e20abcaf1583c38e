package org.buckthornhub.promotion

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Random schedules of leases and promotions: at most one daemon has a valid lease at any time, and no write is lost. */
internal class LeaseSimulationTest {
    @Test
    fun `at most one daemon has a valid lease, in the committed term`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 20_261_204, iterations = 500), Arb.long()) { seed ->
            val result = LeaseSimulation(seed).run(faultPhaseMillis = 12_000, recoveryPhaseMillis = 9_000)
            assertEquals(emptyList(), result.violations, "seed $seed")
            assertTrue(result.isHeldAtEnd, "seed $seed: no daemon holds the lease after the faults have ended")
        }
    }

    @Test
    fun `the schedules contain promotions and writes`() {
        val results = (1L..50L).map { LeaseSimulation(it).run(faultPhaseMillis = 20_000, recoveryPhaseMillis = 5_000) }
        assertTrue(results.sumOf { it.promotions } > 100, "${results.sumOf { it.promotions }} promotions")
        assertTrue(results.sumOf { it.acknowledged } > 5_000, "${results.sumOf { it.acknowledged }} writes")
    }

    @Test
    fun `clock drift beyond the configured margin is detected`() {
        val faults = SimulationFaults(driftPercent = 30)
        val results = (1L..60L).map { LeaseSimulation(it, faults = faults).run(faultPhaseMillis = 20_000, recoveryPhaseMillis = 0) }
        assertTrue(results.any { it.violations.isNotEmpty() }, "no schedule violates a lease although the drift exceeds the margin")
    }
}
