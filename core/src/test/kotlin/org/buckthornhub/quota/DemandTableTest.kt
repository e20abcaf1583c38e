package org.buckthornhub.quota

import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class DemandTableTest {
    private val organisation = OrganisationId("o")

    @Test
    fun `the shares of all daemons add up to one and follow demand`() {
        val random = Random(3)
        repeat(100) {
            val vms = (1..random.nextInt(1, 12)).map { VmId("vm$it") }
            val table = vms.fold(DemandTable()) { table, vm ->
                table.with(vm, DemandReport(mapOf(organisation to random.nextDouble(0.0, 20.0))), 0)
            }
            val shares = vms.associateWith { table.sharesOf(it, setOf(organisation)).getValue(organisation) }
            assertEquals(1.0, shares.values.sum(), absoluteTolerance = 1e-9)
            val busiest = vms.maxBy { table.reports.getValue(it).report.perSecond.getValue(organisation) }
            assertEquals(shares.values.max(), shares.getValue(busiest))
        }
    }

    @Test
    fun `a daemon without reports keeps its share until it can't serve any more`() {
        val table = DemandTable().with(VmId("a"), DemandReport(), 0).with(VmId("b"), DemandReport(), 0)
        assertEquals(2, table.pruned(nowMillis = 5_000).reports.size)
        assertEquals(0, table.pruned(nowMillis = 6_001).reports.size)
    }

    @Test
    fun `the shares add up to one while a daemon does not report`() {
        val demand = DemandReport(mapOf(organisation to 10.0))
        val early = listOf("a", "b", "c", "d").fold(DemandTable()) { table, name -> table.with(VmId(name), demand, 0) }
        val table = listOf("a", "b", "c").fold(early) { known, name -> known.with(VmId(name), demand, 2_000) }
        val shares = listOf("a", "b", "c", "d").map { table.sharesOf(VmId(it), setOf(organisation)).getValue(organisation) }
        assertEquals(1.0, shares.sum(), absoluteTolerance = 1e-9)
    }

    @Test
    fun `a bucket admits no more than its rate and burst`() {
        val rate = BucketRate(ratePerSecond = 10.0, burst = 5.0)
        var state: BucketState? = null
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
