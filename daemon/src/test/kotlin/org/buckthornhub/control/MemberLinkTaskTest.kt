package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.replication.DiskId
import org.buckthornhub.replication.EntryContent
import org.buckthornhub.replication.LogEntry
import org.buckthornhub.replication.Member
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.StoredRouteTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class MemberLinkTaskTest {
    private val leader = Member(VmId("a"), DiskId("1"))
    private var timeouts: List<Long> = emptyList()

    private inner class SlowLink : HttpLink {
        override suspend fun post(
            path: String,
            body: String,
            timeoutMillis: Long,
            headers: Map<String, String>,
        ): Result<HttpReply, HttpFailure> {
            timeouts = timeouts + timeoutMillis
            delay(300)
            return Err(HttpFailure(sent = true, detail = "slow"))
        }

        override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> =
            Err(HttpFailure(sent = false, detail = "not used"))

        override fun close() = Unit
    }

    @Test
    fun `a slow member is not sent duplicates`() = runTest {
        val task = MemberLinkTask("b", { SlowLink() }, PeerAuthenticator.open()) {}
        task.start(backgroundScope)
        repeat(50) {
            task.offer(append(documentLength = 10))
            delay(1)
        }
        delay(20_000)
        assertTrue(timeouts.size <= 4, "${timeouts.size} messages were sent")
    }

    @Test
    fun `a large message gets a longer timeout`() = runTest {
        val task = MemberLinkTask("b", { SlowLink() }, PeerAuthenticator.open()) {}
        task.start(backgroundScope)
        task.offer(append(documentLength = 10))
        task.offer(append(documentLength = 500_000))
        delay(2_000)
        assertEquals(2, timeouts.size)
        assertTrue(timeouts.first() in 400..410 && timeouts.last() > 2_000, "timeouts were $timeouts")
    }

    private fun append(documentLength: Int): PeerMessage {
        val command = ControlCommand.ReplaceRouteTable(StoredRouteTable(RouteTable(1), "x".repeat(documentLength)))
        return PeerMessage.Append(leader, 1, 1, 0, 0, listOf(LogEntry(1, 1, EntryContent.Command(command))), 0)
    }
}
