package org.buckthornhub.promotion

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Random schedules of leases and promotions: at most one holder believes at any true time, and no write is lost. */
internal class LeaseSimulationTest {
    @Property(tries = 500, seed = "20261204")
    fun `at most one holder believes, in the committed term`(@ForAll seed: Long) {
        val result = LeaseSimulation(seed).run(faultyMillis = 12_000, quietMillis = 9_000)
        assertEquals(emptyList(), result.violations, "seed $seed")
        assertTrue(result.isHeldAtEnd, "seed $seed: nobody holds the lease after the faults have ended")
    }

    @Test
    fun `the schedules reach changes and writes`() {
        val results = (1L..50L).map { LeaseSimulation(it).run(faultyMillis = 20_000, quietMillis = 5_000) }
        assertTrue(results.sumOf { it.changes } > 100, "${results.sumOf { it.changes }} changes")
        assertTrue(results.sumOf { it.acknowledged } > 5_000, "${results.sumOf { it.acknowledged }} writes")
    }

    @Test
    fun `clocks beyond the stated drift are found out`() {
        val faults = SimulationFaults(driftPercent = 30)
        val results = (1L..60L).map { LeaseSimulation(it, faults = faults).run(faultyMillis = 20_000, quietMillis = 0) }
        assertTrue(results.any { it.violations.isNotEmpty() }, "no schedule of 200 shows what the drift margin is for")
    }
}
