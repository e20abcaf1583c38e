package org.buckthornhub.quota

import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class DemandBoardTest {
    private val organisation = OrganisationId("o")

    @Test
    fun `the parts of all daemons add up to the whole and follow demand`() {
        val random = Random(3)
        repeat(100) {
            val vms = (1..random.nextInt(1, 12)).map { VmId("vm$it") }
            val board = vms.fold(DemandBoard()) { board, vm ->
                board.with(vm, DemandReport(mapOf(organisation to random.nextDouble(0.0, 20.0))), 0)
            }
            val parts = vms.associateWith { board.sharesOf(it, setOf(organisation)).getValue(organisation) }
            assertEquals(1.0, parts.values.sum(), absoluteTolerance = 1e-9)
            val busiest = vms.maxBy { board.reports.getValue(it).report.perSecond.getValue(organisation) }
            assertEquals(parts.values.max(), parts.getValue(busiest))
        }
    }

    @Test
    fun `a daemon that was not heard keeps its part until it can't serve any more`() {
        val board = DemandBoard().with(VmId("a"), DemandReport(), 0).with(VmId("b"), DemandReport(), 0)
        assertEquals(2, board.pruned(nowMillis = 5_000).reports.size)
        assertEquals(0, board.pruned(nowMillis = 6_001).reports.size)
    }

    @Test
    fun `the parts add up to the whole while a daemon is silent`() {
        val demand = DemandReport(mapOf(organisation to 10.0))
        val early = listOf("a", "b", "c", "d").fold(DemandBoard()) { board, name -> board.with(VmId(name), demand, 0) }
        val board = listOf("a", "b", "c").fold(early) { known, name -> known.with(VmId(name), demand, 2_000) }
        val parts = listOf("a", "b", "c", "d").map { board.sharesOf(VmId(it), setOf(organisation)).getValue(organisation) }
        assertEquals(1.0, parts.sum(), absoluteTolerance = 1e-9)
    }

    @Test
    fun `a meter lets through no more than its rate and burst`() {
        val rate = MeterRate(ratePerSecond = 10.0, burst = 5.0)
        var state: MeterState? = null
        var admitted = 0
        for (now in 0L..10_000L step 3) {
            val filled = rate.refill(state, now)
            val isAdmitted = filled.tokens >= 1
            if (isAdmitted) admitted += 1
            state = if (isAdmitted) filled.copy(tokens = filled.tokens - 1) else filled
            if (!isAdmitted) assertTrue(rate.retryAfterMillis(filled) in 1..100)
        }
        assertTrue(admitted in 104..105, "admitted $admitted")
    }
}
