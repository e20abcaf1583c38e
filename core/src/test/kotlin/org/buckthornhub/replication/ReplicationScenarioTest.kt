package org.buckthornhub.replication

import org.buckthornhub.control.ChangeId
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.PlanList
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Single failure scenarios that the control quorum has to tolerate. */
internal class ReplicationScenarioTest {
    private val cluster = FakeCluster(Random(1), compactAfter = 64)
    private var number = 0L

    @Test
    fun `a member isolated for an hour reports the age of its state and causes no election on its return`() {
        run(2_000)
        val follower = cluster.vms.first { it != leader() }
        cluster.cutOff(setOf(follower))
        repeat(100) { change() }
        run(3_600_000, stepMillis = 50)
        val term = termOf(leader())
        val leader = leader()
        val cutOff = cluster.nodes.getValue(follower)
        assertEquals(0, cutOff.machine.control.revision)
        assertTrue(cluster.nowMillis - assertNotNull(cutOff.freshMillis) > 3_500_000, "a member without a majority is not fresh")
        cluster.cutOff(emptySet())
        run(2_000)
        assertEquals(term, termOf(leader()))
        assertEquals(leader, leader())
        assertEquals(100, cluster.nodes.getValue(follower).machine.control.revision)
    }

    @Test
    fun `losing a second disk right after the first was replaced loses no data`() {
        run(2_000)
        repeat(300) { change() }
        cluster.loseDisk(VmId("vm1"))
        repeat(20) { change() }
        cluster.restart(VmId("vm1"))
        run(5_000)
        assertTrue(cluster.isFullyReplicated(), "vm1 is a member again")
        cluster.loseDisk(VmId("vm2"))
        run(5_000)
        assertEquals(320, cluster.nodes.getValue(leader()).machine.control.revision)
        change()
        assertEquals(321, cluster.maxAccepted)
    }

    @Test
    fun `a member with an empty disk has no vote before it has caught up`() {
        run(2_000)
        repeat(30) { change() }
        cluster.loseDisk(VmId("vm1"))
        cluster.crash(leader())
        cluster.restart(VmId("vm1"))
        run(20_000)
        // Two of three disks are unavailable: the third one and the empty one form no majority.
        assertTrue(cluster.nodes.values.none { it.role is Role.Leader })
        cluster.vms.forEach { cluster.restart(it) }
        run(5_000)
        assertTrue(cluster.isFullyReplicated())
        assertEquals(30, cluster.nodes.getValue(leader()).machine.control.revision)
    }

    @Test
    fun `a leader that is cut off steps down, confirms nothing and accepts nothing`() {
        run(2_000)
        val old = leader()
        cluster.cutOff(setOf(old))
        val proposal = cluster.propose(next())
        cluster.send(proposal, old)
        run(3_000)
        assertFalse(cluster.nodes.getValue(old).role is Role.Leader)
        assertEquals(null, cluster.proposals[proposal].outcome)
        // No change was accepted with this number, so another change may use it.
        number--
        change()
        cluster.cutOff(emptySet())
        run(2_000)
        assertEquals(1, cluster.nodes.values.map { it.machine }.toSet().size)
        assertEquals(1, cluster.nodes.getValue(leader()).machine.control.revision)
    }

    @Test
    fun `all members restore 500 changes after a restart`() {
        run(2_000)
        repeat(500) { change() }
        cluster.vms.forEach { cluster.crash(it) }
        cluster.vms.forEach { cluster.restart(it) }
        run(3_000)
        assertEquals(setOf(500L), cluster.nodes.values.map { it.machine.control.revision }.toSet())
        change()
        assertEquals(501, cluster.maxAccepted)
    }

    private fun leader(): VmId = cluster.nodes.filterValues { it.role is Role.Leader }.maxBy { it.value.durable.term }.key

    private fun termOf(vm: VmId): Long = cluster.nodes.getValue(vm).durable.term

    private fun next() = ControlCommand.ChangePlans(ChangeId("c${cluster.proposals.size}"), PlanList(++number))

    private fun change() {
        run(200)
        val proposal = cluster.propose(next())
        cluster.send(proposal, leader())
        run(400)
        assertTrue(cluster.proposals[proposal].outcome is CommandOutcome.Accepted, "${cluster.proposals[proposal]}")
    }

    private fun run(millis: Long, stepMillis: Long = 20) = repeat((millis / stepMillis).toInt()) {
        cluster.advance(stepMillis)
        // Answers sent during this step are delivered within it as well.
        repeat(DELIVERIES) { if (cluster.packets.isNotEmpty()) cluster.deliver(0) }
    }

    private companion object {
        const val DELIVERIES = 20
    }
}
