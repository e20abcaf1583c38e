package org.buckthornhub.coordination

import org.buckthornhub.group.GroupId
import org.buckthornhub.http.PeerJson
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.ByteArrayInputStream
import java.util.zip.GZIPInputStream
import kotlin.test.assertEquals

/** The answers to many daemons that restart, with tables of several sizes. */
internal class EncodedTableTest {
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 350, 3_000])
    fun `a daemon decodes the answer and the table that were sent`(routes: Int) {
        val encoded = EncodedTable()
        for (version in 1L..3L) {
            val table = table(version, routes)
            val answer = ProxyReportAnswer(tableVersion = version, proxies = 94)
            val text = PeerJson.encodeToString(ProxyReportAnswer.serializer(), answer)
            for (daemon in 1..3) {
                val head = encoded.headOf(table)
                val received = PeerJson.decodeFromString(ProxyReportAnswer.serializer(), head.text() + text.drop(1))
                assertEquals(answer.copy(table = table), received, "daemon $daemon")
                val expanded = GZIPInputStream(ByteArrayInputStream(head.gzip)).readAllBytes().decodeToString()
                assertEquals(head.text(), expanded, "daemon $daemon")
            }
        }
    }

    private fun table(version: Long, routes: Int): RouteTable {
        val names = (1..routes).map { DatabaseName("d$it") }
        return RouteTable(
            version,
            names.associateWith { DatabaseRoute("r", it, GroupId("g"), ReadGuarantee.BoundedAge(1_500), 1_000, 400) },
        )
    }
}
