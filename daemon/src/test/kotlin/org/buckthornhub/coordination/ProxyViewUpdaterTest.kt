package org.buckthornhub.coordination

import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.PrimaryDesignation
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.group.Term
import org.buckthornhub.horizon.SharedPosition
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse

internal class ProxyViewUpdaterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a confirmation is counted from the request, and a source with an older table confirms nothing`(case: ProxyViewCase) {
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val after = ProxyViewUpdater.update(ProxyView(table = RouteTable(version = 5)), VmId("a"), sentAt, receivedAt, case.reply)
        assertEquals(case.confirmedMillis, after.confirmedAt?.monotonicMillis)
        assertEquals(case.confirmedMillis?.plus(80_000), after.confirmedAt?.wallMillis)
        assertEquals(case.version, after.table?.version)
    }

    @ParameterizedTest
    @MethodSource("leases")
    fun `a lease counts from the report or the confirmation of the leader, whichever was earlier`(case: LeaseCase) {
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val before = ProxyView(designations = designations(case.knownNumber))
        val after = ProxyViewUpdater.update(before, VmId("a"), sentAt, receivedAt, case.reply)
        assertEquals(case.leasedMillis, after.leasedAt?.monotonicMillis)
        assertEquals(case.leasedMillis?.plus(80_000), after.leasedAt?.wallMillis)
    }

    @ParameterizedTest
    @CsvSource("91000, 10300", "91500, 9400", "95000, 5900")
    fun `a shared position is no younger than its report, also if the VM was suspended meanwhile`(wallMillis: Long, askedMillis: Long) {
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val shared = SharedPosition(Position(Term(1), LogPosition(7)), askedMillis = 49_900)
        val reply = ProxyReportAnswer(
            heldMillis = 400,
            designations = designations(1),
            leaderMillis = 50_000,
            positions = mapOf(GroupId("g") to shared),
        )
        val after = ProxyViewUpdater.update(ProxyView(), VmId("a"), sentAt, receivedAt.copy(wallMillis = wallMillis), reply)
        assertEquals(askedMillis, after.positions.getValue(GroupId("g")).askedMillis)
    }

    @ParameterizedTest
    @MethodSource("takenOver")
    fun `times of the future that were taken over earlier neither count nor stay`(case: TakenOverCase) {
        val before = ProxyView(RouteTable(version = 5), confirmedAt = future, designations = designations(1), leasedAt = future)
        assertFalse(before.isFresh(clock, limitMillis = 5_000))
        assertFalse(before.hasPrimaryLease(clock))
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val after = ProxyViewUpdater.update(before, VmId("a"), sentAt, receivedAt, case.reply)
        assertEquals(case.countedMillis, after.confirmedAt?.monotonicMillis)
        assertEquals(case.countedMillis, after.leasedAt?.monotonicMillis)
        assertEquals(case.countedMillis != null, after.isFresh(clock, limitMillis = 5_000))
        assertEquals(case.countedMillis != null, after.hasPrimaryLease(clock))
    }

    @ParameterizedTest
    @MethodSource("positions")
    fun `a shared position counts from its time unless that lies in the future of the leader`(case: SharedPositionCase) {
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val shared = SharedPosition(Position.START, case.askedMillis)
        val reply = ProxyReportAnswer(
            ageMillis = 40,
            designations = designations(1),
            leaderMillis = 700_000,
            positions = mapOf(GroupId("g") to shared),
        )
        val after = ProxyViewUpdater.update(ProxyView(), VmId("a"), sentAt, receivedAt, reply)
        assertEquals(case.localMillis, after.positions[GroupId("g")]?.askedMillis)
    }

    private companion object {
        private val future = ClockReading(monotonicMillis = 17_000_000, wallMillis = 17_080_000)

        private val clock = object : Clock {
            override fun nowMillis() = 11_000L

            override fun wallMillis() = 91_000L
        }

        private val receivedAt = ClockReading(monotonicMillis = 11_000, wallMillis = 91_000)

        private fun designations(number: Long) = PrimaryDesignations().with(GroupId("g"), PrimaryDesignation(TargetId("t"), number))

        @JvmStatic
        fun leases(): List<LeaseCase> = listOf(
            LeaseCase("from a VM that does not lead", ProxyReportAnswer(ageMillis = 10), knownNumber = 1, leasedMillis = null),
            LeaseCase("at once", ProxyReportAnswer(ageMillis = 40, designations = designations(1)), knownNumber = 1, leasedMillis = 9_960),
            LeaseCase(
                "held open, confirmed meanwhile",
                ProxyReportAnswer(ageMillis = 40, heldMillis = 400, designations = designations(2)),
                knownNumber = 1,
                leasedMillis = 10_000,
            ),
            LeaseCase(
                "held open by a leader that a majority has left",
                ProxyReportAnswer(ageMillis = 700, heldMillis = 400, designations = designations(1)),
                knownNumber = 1,
                leasedMillis = 9_700,
            ),
            LeaseCase(
                "from a leader with older designations",
                ProxyReportAnswer(ageMillis = 40, designations = designations(1)),
                knownNumber = 2,
                leasedMillis = null,
            ),
            LeaseCase(
                "from a leader that counts its state as confirmed in the future",
                ProxyReportAnswer(ageMillis = -17_366_834, designations = designations(1)),
                knownNumber = 1,
                leasedMillis = null,
            ),
            LeaseCase(
                "held open for longer than the report took",
                ProxyReportAnswer(ageMillis = 1_500, heldMillis = 5_000, designations = designations(1)),
                knownNumber = 1,
                leasedMillis = 9_500,
            ),
            LeaseCase("never confirmed", ProxyReportAnswer(designations = designations(1)), knownNumber = 1, leasedMillis = null),
        )

        @JvmStatic
        fun takenOver(): List<TakenOverCase> = listOf(
            TakenOverCase(
                "a right reply",
                ProxyReportAnswer(ageMillis = 40, tableVersion = 5, designations = designations(1)),
                countedMillis = 9_960,
            ),
            TakenOverCase("a reply that confirms nothing", ProxyReportAnswer(tableVersion = 5), countedMillis = null),
            TakenOverCase(
                "one more reply of the future",
                ProxyReportAnswer(ageMillis = -17_366_834, tableVersion = 5, designations = designations(1)),
                countedMillis = null,
            ),
        )

        @JvmStatic
        fun positions(): List<SharedPositionCase> = listOf(
            SharedPositionCase("asked earlier", askedMillis = 699_800, localMillis = 9_800),
            SharedPositionCase("asked when the leader answered", askedMillis = 700_000, localMillis = 10_000),
            SharedPositionCase("asked in the future of the leader", askedMillis = 700_001, localMillis = null),
        )

        @JvmStatic
        fun cases(): List<ProxyViewCase> = listOf(
            ProxyViewCase(
                "confirmed in the future",
                ProxyReportAnswer(ageMillis = -17_366_834, tableVersion = 5),
                confirmedMillis = null,
                version = 5,
            ),
            ProxyViewCase(
                "held open for longer than the report took",
                ProxyReportAnswer(ageMillis = 40, heldMillis = 5_000, tableVersion = 5),
                confirmedMillis = 10_960,
                version = 5,
            ),
            ProxyViewCase(
                "confirmed before the daemon's clock started",
                ProxyReportAnswer(ageMillis = 30_000, tableVersion = 5),
                confirmedMillis = -20_000,
                version = 5,
            ),
            ProxyViewCase("not confirmed by a majority", ProxyReportAnswer(tableVersion = 5), confirmedMillis = null, version = 5),
            ProxyViewCase("the same table", ProxyReportAnswer(ageMillis = 40, tableVersion = 5), confirmedMillis = 9_960, version = 5),
            ProxyViewCase(
                "held open",
                ProxyReportAnswer(ageMillis = 40, heldMillis = 400, tableVersion = 5),
                confirmedMillis = 10_360,
                version = 5,
            ),
            ProxyViewCase("an older table", ProxyReportAnswer(ageMillis = 40, tableVersion = 4), confirmedMillis = null, version = 5),
            ProxyViewCase(
                "an older table with its content",
                ProxyReportAnswer(ageMillis = 40, tableVersion = 4, table = RouteTable(version = 4)),
                confirmedMillis = null,
                version = 5,
            ),
            ProxyViewCase(
                "a newer table",
                ProxyReportAnswer(ageMillis = 40, tableVersion = 6, table = RouteTable(version = 6)),
                confirmedMillis = 9_960,
                version = 6,
            ),
        )
    }
}
