package org.buckthornhub.control

import org.buckthornhub.coordination.EncodedTable
import org.buckthornhub.coordination.ProxyReportAnswer
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.http.JsonStream
import org.buckthornhub.http.PeerJson
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.replication.DiskId
import org.buckthornhub.replication.DurableRecord
import org.buckthornhub.replication.EntryContent
import org.buckthornhub.replication.LogEntry
import org.buckthornhub.replication.Member
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.replication.Snapshot
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.StoredRouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Control VMs that ran out of memory, as what they store and send grew with the square of the keys of an organisation. */
internal class TableSizeTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `what is stored, sent and reported grows with the entries of the configuration`(case: TableSizeCase) {
        // Each step before the next one: what grows with a square would take gigabytes at the end.
        COUNTS.zipWithNext().fold(emptyMap<String, Double>()) { first, (fewer, more) ->
            val before = sizesOf(case.table(fewer))
            val after = sizesOf(case.table(more))
            val perEntry = after.mapValues { (form, bytes) -> (bytes - before.getValue(form)).toDouble() / (more - fewer) }
            for ((form, bytes) in perEntry) {
                // Larger numbers have more digits, and these are the only reason to grow.
                val most = (first[form] ?: bytes) + more.toString().length * NAMES_PER_ENTRY
                assertTrue(bytes <= most, "$form takes $bytes bytes for each entry from $fewer to $more, $first before")
            }
            first.ifEmpty { perEntry }
        }
    }

    @Test
    fun `a record of an earlier version, which holds each key with those of its organisation, is read`() {
        val access = """{"organisation":"o","keys":["a","b"],"ratePerSecond":1.0,"burst":2.0,"priority":0}"""
        val table = """{"version":7,"routes":{},"groups":{"g":{"maxConnections":9}},"organisations":{"o":$access},""" +
            """"transactionIdleMillis":3000,"holders":{"a":$access,"b":$access}}"""
        val record = """{"type":"entry","entry":{"index":1,"term":2,"content":{"type":"command","command":""" +
            """{"type":"replace-route-table","stored":{"table":$table,"document":"d"}}}}}"""
        val entry = PeerJson.decodeFromString(DurableRecord.serializer(), record) as DurableRecord.Entry
        val command = (entry.entry.content as EntryContent.Command).command as ControlCommand.ReplaceRouteTable
        assertEquals("o", assertNotNull(command.stored.table.holderOf(KeyDigest("b"))).organisation.value)
    }

    private fun sizesOf(table: RouteTable): Map<String, Int> {
        val stored = StoredRouteTable(table, document = "")
        val entry = LogEntry(1, 1, EntryContent.Command(ControlCommand.ReplaceRouteTable(stored)))
        val snapshot = Snapshot(machine = MachineState(ControlState(routeTable = stored)))
        return mapOf(
            "log record" to bytesOf { RecordLine.write(DurableRecord.Entry(entry), it) },
            "stored snapshot" to bytesOf { RecordLine.write(DurableRecord.Base(snapshot), it) },
            "replication message" to
                bytesOf { JsonStream.write(PeerMessage.serializer(), PeerMessage.Append(member, 1, 1, 0, 0, listOf(entry), 0), it) },
            "snapshot message" to bytesOf { JsonStream.write(PeerMessage.serializer(), PeerMessage.Install(member, 1, 1, snapshot), it) },
            "proposal" to bytesOf { JsonStream.write(ControlCommand.serializer(), ControlCommand.ReplaceRouteTable(stored), it) },
            "report" to EncodedTable().headOf(table).text().length,
            "report with the table in it" to
                bytesOf { JsonStream.write(ProxyReportAnswer.serializer(), ProxyReportAnswer(table = table), it) },
        )
    }

    private fun bytesOf(write: (ByteArrayOutputStream) -> Unit): Int = ByteArrayOutputStream().also(write).size()

    private companion object {
        val COUNTS = listOf(10, 100, 1_000, 9_000)

        /** Places at which an entry has its number. */
        const val NAMES_PER_ENTRY = 3
        val member = Member(VmId("vm"), DiskId("d"))

        @JvmStatic
        fun cases(): List<TableSizeCase> = listOf(
            TableSizeCase("keys of one organisation") { tableOf(organisation("o", it)) },
            TableSizeCase("organisations") { count -> tableOf(*(1..count).map { organisation("o$it", 1) }.toTypedArray()) },
            TableSizeCase("organisations with 10 keys each") { count ->
                tableOf(*(1..count / 10).map { organisation("o$it", 10) }.toTypedArray())
            },
            TableSizeCase("routes") { count ->
                val routes = (1..count).map { DatabaseRoute("r$it", DatabaseName("d$it"), GroupId("g"), ReadGuarantee.Latest, 1_000, 400) }
                RouteTable(7, routes.associateBy { it.database })
            },
            TableSizeCase("groups") { count -> RouteTable(7, groups = (1..count).associate { GroupId("g$it") to GroupLimits(9, 0) }) },
        )

        fun organisation(name: String, keys: Int): OrganisationAccess {
            val digests = (1..keys).map { KeyDigest.of(ApiKey("$name key $it")) }.toSet()
            return OrganisationAccess(OrganisationId(name), digests, ratePerSecond = 1.0, burst = 1.0)
        }

        fun tableOf(vararg organisations: OrganisationAccess) = RouteTable(7, organisations = organisations.associateBy { it.organisation })
    }
}
