package org.buckthornhub.coordination

import com.github.michaelbull.result.Ok
import org.buckthornhub.group.GroupId
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.RouteTableParser
import org.buckthornhub.routetable.StoredRouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Numbers of synchronous replicas that are lost on the way from the stored table to the failover. */
internal class SyncReplicasTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the numbers are those of the table, or of its document if the table does not hold them`(case: Pair<List<Int?>, List<Int>>) {
        val stored = StoredRouteTable(tableOf(case.first), DOCUMENT)
        val expected = case.second.withIndex().filter { it.value > 0 }.associate { GroupId("${it.index}") to it.value }
        assertEquals(expected, SyncReplicas(parser).of(stored))
    }

    private companion object {
        const val DOCUMENT = "0 and 1"
        val parser = RouteTableParser { document ->
            assertEquals(DOCUMENT, document)
            Ok(StoredRouteTable(tableOf(listOf(0, 1)), document))
        }

        fun tableOf(counts: List<Int?>) =
            RouteTable(version = 7, groups = counts.withIndex().associate { GroupId("${it.index}") to GroupLimits(9, it.value) })

        @JvmStatic
        fun cases(): List<Pair<List<Int?>, List<Int>>> = listOf(
            listOf(0, 0) to listOf(0, 0),
            listOf(2, 0) to listOf(2, 0),
            listOf(null, null) to listOf(0, 1),
            listOf(0, null) to listOf(0, 1),
        )
    }
}
