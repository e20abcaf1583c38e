package org.buckthornhub.coordination

import org.buckthornhub.control.Evacuations
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Replies of control VMs of which some do not know the newest order. */
internal class EvacuationViewTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an order counts from before its acknowledgement, and only a source that knows it confirms anything`(case: EvacuationViewCase) {
        val before = ProxyView(
            RouteTable(version = 5),
            confirmedAt = at(9_000).takeIf { case.isConfirmedBefore },
            evacuations = case.known,
            evacuatedSince = case.known.zones.associateWith { at(2_000) },
        )
        val after = ProxyViewUpdater.update(before, VmId("c"), at(10_000), at(11_000), case.reply)
        assertEquals(case.sinceMillis, after.evacuatedSince[ZoneId("a")]?.monotonicMillis)
        assertEquals(after.evacuations.zones, after.evacuatedSince.keys)
        assertEquals(case.confirmedMillis, after.confirmedAt?.monotonicMillis)
    }

    private companion object {
        private fun at(millis: Long) = ClockReading(millis, millis + 80_000)

        private fun evacuations(revision: Long, vararg zones: String) = Evacuations(zones.map { ZoneId(it) }.toSet(), revision)

        private fun reply(evacuations: Evacuations?) = ProxyReportAnswer(ageMillis = 40, tableVersion = 5, evacuations = evacuations)

        @JvmStatic
        fun cases(): List<EvacuationViewCase> = listOf(
            EvacuationViewCase("no evacuations", Evacuations(), reply(null), sinceMillis = null, confirmedMillis = 9_960),
            EvacuationViewCase("a new order", Evacuations(), reply(evacuations(1, "a")), sinceMillis = 9_000, confirmedMillis = 9_960),
            EvacuationViewCase(
                "the first reply to a daemon",
                Evacuations(),
                reply(evacuations(1, "a")),
                sinceMillis = ProxyView.LONG_AGO.monotonicMillis,
                confirmedMillis = 9_960,
                isConfirmedBefore = false,
            ),
            EvacuationViewCase(
                "another zone is added",
                evacuations(1, "a"),
                reply(evacuations(2, "a", "b")),
                sinceMillis = 2_000,
                confirmedMillis = 9_960,
            ),
            EvacuationViewCase("the evacuation ended", evacuations(1, "a"), reply(evacuations(2)), null, confirmedMillis = 9_960),
            EvacuationViewCase(
                "a follower that was partitioned before the order",
                evacuations(1, "a"),
                reply(null),
                sinceMillis = 2_000,
                confirmedMillis = 9_000,
            ),
            EvacuationViewCase(
                "a follower that was partitioned before the end",
                evacuations(2),
                reply(evacuations(1, "a")),
                sinceMillis = null,
                confirmedMillis = 9_000,
            ),
        )
    }
}
