package org.buckthornhub.coordination

import org.buckthornhub.fleet.VmId
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class ProxyViewUpdaterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a confirmation is counted from the request, and a source with an older table confirms nothing`(case: ProxyViewCase) {
        val sentAt = ClockReading(monotonicMillis = 10_000, wallMillis = 90_000)
        val after = ProxyViewUpdater.update(ProxyView(table = RouteTable(version = 5)), VmId("a"), sentAt, case.reply)
        assertEquals(case.confirmedMillis, after.confirmedAt?.monotonicMillis)
        assertEquals(case.confirmedMillis?.plus(80_000), after.confirmedAt?.wallMillis)
        assertEquals(case.version, after.table?.version)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<ProxyViewCase> = listOf(
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
