package org.buckthornhub.coordination

import org.buckthornhub.fleet.VmId
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class ProxyViewsTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a proof is counted from the question, and a source that is behind proves nothing`(case: ProxyViewCase) {
        val asked = FreshProof(monotonicMillis = 10_000, wallMillis = 90_000)
        val after = ProxyViews.after(ProxyView(table = RouteTable(version = 5)), VmId("a"), asked, case.news)
        assertEquals(case.proofMillis, after.proof?.monotonicMillis)
        assertEquals(case.proofMillis?.plus(80_000), after.proof?.wallMillis)
        assertEquals(case.version, after.table?.version)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<ProxyViewCase> = listOf(
            ProxyViewCase("nobody stood behind it", ProxyReportAnswer(tableVersion = 5), proofMillis = null, version = 5),
            ProxyViewCase("the same table", ProxyReportAnswer(ageMillis = 40, tableVersion = 5), proofMillis = 9_960, version = 5),
            ProxyViewCase(
                "held back",
                ProxyReportAnswer(ageMillis = 40, heldMillis = 400, tableVersion = 5),
                proofMillis = 10_360,
                version = 5,
            ),
            ProxyViewCase("an older table", ProxyReportAnswer(ageMillis = 40, tableVersion = 4), proofMillis = null, version = 5),
            ProxyViewCase(
                "an older table in full",
                ProxyReportAnswer(ageMillis = 40, tableVersion = 4, table = RouteTable(version = 4)),
                proofMillis = null,
                version = 5,
            ),
            ProxyViewCase(
                "a newer table",
                ProxyReportAnswer(ageMillis = 40, tableVersion = 6, table = RouteTable(version = 6)),
                proofMillis = 9_960,
                version = 6,
            ),
        )
    }
}
