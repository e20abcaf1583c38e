package org.buckthornhub.lease

import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** When the control leader grants. */
internal class GrantTableTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a lease is granted only when nobody else can count on one`(case: GrantCase) {
        val table = case.before(GrantTable(controlTerm = 1, sinceMillis = 0))
        val claim = LeaseClaim(lease, case.isHeld)
        assertEquals(case.isGranted, table.isGrantable(asking, claim, case.confirmedFromMillis, settings))
    }

    private companion object {
        private val settings = LeaseSettings(leaseMillis = 1_000, driftPercent = 10)
        private val lease = GroupTerm(GroupId("ledger"), Term(1))
        private val asking = HolderId(VmId("d1"), incarnation = 1)
        private val other = HolderId(VmId("d2"), incarnation = 1)
        private val restarted = HolderId(VmId("d1"), incarnation = 2)

        @JvmStatic
        fun cases(): List<GrantCase> = listOf(
            GrantCase("unknown group, a lease after the election", isGranted = true, confirmedFromMillis = 1_100),
            GrantCase("unknown group, just before", isGranted = false, confirmedFromMillis = 1_099),
            GrantCase("unknown group, still held", isGranted = true, confirmedFromMillis = 1, isHeld = true),
            GrantCase("own lease", isGranted = true, confirmedFromMillis = 600) { it.granted(asking, lease, 500, settings) },
            GrantCase("lease of another", isGranted = false, confirmedFromMillis = 1_599) { it.granted(other, lease, 500, settings) },
            GrantCase("lease of another that has ended", isGranted = true, confirmedFromMillis = 1_600) {
                it.granted(other, lease, 500, settings)
            },
            GrantCase("lease of another, said to be held", isGranted = false, confirmedFromMillis = 600, isHeld = true) {
                it.granted(other, lease, 500, settings)
            },
            GrantCase("lease of another start of the VM", isGranted = false, confirmedFromMillis = 600) {
                it.granted(restarted, lease, 500, settings)
            },
            GrantCase("released by its holder", isGranted = true, confirmedFromMillis = 600) {
                it.granted(other, lease, 500, settings).released(releaseBy(other))
            },
            GrantCase("released by somebody else", isGranted = false, confirmedFromMillis = 600) {
                it.granted(other, lease, 500, settings).released(releaseBy(restarted))
            },
            GrantCase("released before a control leader that knows no holder", isGranted = false, confirmedFromMillis = 600) {
                it.released(releaseBy(other))
            },
        )

        private fun releaseBy(holder: HolderId) = RenewRequest(holder, sequence = 1, controlTerm = 1, released = listOf(lease))
    }
}
