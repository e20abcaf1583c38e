package org.buckthornhub.replication

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.StoredRouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A log of large tables that filled the memory of a control VM, or that was sent over and over. */
internal class LargeTableLogTest {
    private val cluster = FakeCluster(Random(1))

    @ParameterizedTest
    @MethodSource("cases")
    fun `a log of applied tables is compacted by its size`(case: LargeTableCase) {
        cluster.run(ELECTION_MILLIS)
        for (version in 1L..case.count) {
            send(version, case.chars)
            cluster.run(TRANSFER_MILLIS)
        }
        cluster.nodes.values.forEach {
            assertEquals(case.count.toLong(), it.machine.control.routeTable?.table?.version)
            assertTrue(it.log.entries.size <= case.mostKept, "${it.self.vm} keeps ${it.log.entries.size} entries")
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `tables that wait for a majority are limited by their size`(case: LargeTableCase) {
        cluster.run(ELECTION_MILLIS)
        val leader = cluster.leader()
        cluster.cutOff(cluster.vms.toSet() - leader.self.vm)
        for (version in 1L..case.count) {
            send(version, case.chars)
            cluster.advance(1)
        }
        val state = cluster.leader()
        val pending = state.log.entries.count { it.index > state.commitIndex && it.content is EntryContent.Command }
        assertTrue(pending in 1..case.mostPending, "$pending tables wait")
        // Those that were refused did not end the quorum: with the others back, the next one is accepted.
        cluster.cutOff(emptySet())
        cluster.run(ELECTION_MILLIS)
        send(case.count + 1L, case.chars)
        cluster.run(ELECTION_MILLIS)
        assertTrue(cluster.proposals.last().outcome is CommandOutcome.Accepted)
    }

    @Test
    fun `a large table is sent once to a member that takes its time, and heartbeats go on`() {
        cluster.run(ELECTION_MILLIS)
        send(1, LARGE)
        val sent = (1..TRANSFER_MILLIS / 10).flatMap {
            cluster.advance(10)
            cluster.packets.map { it.message }.also { while (cluster.packets.isNotEmpty()) cluster.drop(0) }
        }.filterIsInstance<PeerMessage.Append>()
        assertEquals(2, sent.count { it.entries.any { entry -> entry.content is EntryContent.Command } })
        assertTrue(sent.count { it.entries.isEmpty() } >= 2, "$sent")
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a large table whose messages are lost arrives in the end`(seed: Int) {
        val random = Random(seed)
        cluster.run(ELECTION_MILLIS)
        for (version in 1L..3L) {
            send(version, LARGE)
            repeat(LOSSY_STEPS) {
                cluster.advance(10)
                while (cluster.packets.isNotEmpty()) if (random.nextInt(3) == 0) cluster.drop(0) else cluster.deliver(0)
            }
        }
        cluster.run(5 * TRANSFER_MILLIS)
        val versions = cluster.nodes.values.map { it.machine.control.routeTable?.table?.version }
        assertEquals(1, versions.distinct().size, "$versions")
        assertTrue(cluster.proposals.any { it.outcome is CommandOutcome.Accepted })
    }

    private fun send(version: Long, chars: Int) {
        val stored = StoredRouteTable(RouteTable(version), "x".repeat(chars))
        cluster.send(cluster.propose(ControlCommand.ReplaceRouteTable(stored)), cluster.leader().self.vm)
    }

    private companion object {
        const val ELECTION_MILLIS = 3_000L
        const val TRANSFER_MILLIS = 800L
        const val LOSSY_STEPS = 300
        const val LARGE = 250_000

        @JvmStatic
        fun cases(): List<LargeTableCase> = listOf(
            LargeTableCase("small tables are counted", count = 40, chars = 1_000, mostKept = 12, mostPending = 40),
            LargeTableCase("tables of some hundred routes", count = 20, chars = 100_000, mostKept = 4, mostPending = 13),
            LargeTableCase("tables of the largest size", count = 12, chars = 262_144, mostKept = 2, mostPending = 5),
            LargeTableCase("a table beyond every limit", count = 3, chars = 2_000_000, mostKept = 1, mostPending = 1),
        )
    }
}
