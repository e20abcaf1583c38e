package org.buckthornhub.lease

import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Checks that a control leader grants a lease only while no other holder can have a valid one. */
internal class GrantTableTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a lease is granted only when no other holder can have a valid one`(case: GrantCase) {
        val table = case.before(GrantTable(controlTerm = 1, sinceMillis = 0))
        val claim = LeaseClaim(lease, case.isHeld)
        assertEquals(case.isGranted, table.isGrantable(requester, claim, case.confirmedFromMillis, settings))
    }

    private companion object {
        private val settings = LeaseSettings(leaseMillis = 1_000, driftPercent = 10)
        private val lease = GroupTerm(GroupId("ledger"), Term(1))
        private val requester = HolderId(VmId("d1"), incarnation = 1)
        private val other = HolderId(VmId("d2"), incarnation = 1)
        private val restarted = HolderId(VmId("d1"), incarnation = 2)

        @JvmStatic
        fun cases(): List<GrantCase> = listOf(
            GrantCase("unknown group, one lease plus drift after the election", isGranted = true, confirmedFromMillis = 1_100),
            GrantCase("unknown group, 1 ms before that", isGranted = false, confirmedFromMillis = 1_099),
            GrantCase("unknown group, claimed as held", isGranted = true, confirmedFromMillis = 1, isHeld = true),
            GrantCase("own lease", isGranted = true, confirmedFromMillis = 600) { it.granted(requester, lease, 500, settings) },
            GrantCase("valid lease of another holder", isGranted = false, confirmedFromMillis = 1_599) {
                it.granted(other, lease, 500, settings)
            },
            GrantCase("expired lease of another holder", isGranted = true, confirmedFromMillis = 1_600) {
                it.granted(other, lease, 500, settings)
            },
            GrantCase("lease of another holder, claimed as held", isGranted = false, confirmedFromMillis = 600, isHeld = true) {
                it.granted(other, lease, 500, settings)
            },
            GrantCase("lease of another run of the same daemon", isGranted = false, confirmedFromMillis = 600) {
                it.granted(restarted, lease, 500, settings)
            },
            GrantCase("released by its holder", isGranted = true, confirmedFromMillis = 600) {
                it.granted(other, lease, 500, settings).released(releaseBy(other))
            },
            GrantCase("released by a daemon that is not its holder", isGranted = false, confirmedFromMillis = 600) {
                it.granted(other, lease, 500, settings).released(releaseBy(restarted))
            },
            GrantCase("release to a control leader without a record of the holder", isGranted = false, confirmedFromMillis = 600) {
                it.released(releaseBy(other))
            },
        )

        private fun releaseBy(holder: HolderId) = RenewRequest(holder, sequence = 1, controlTerm = 1, released = listOf(lease))
    }
}
