package org.buckthornhub.replication

import org.buckthornhub.control.ChangeId
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.PlanList
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Standby VMs replace members that have failed. */
internal class StandbyReplacementTest {
    private val spare = VmId("spare")
    private var number = 0L

    @Test
    fun `a standby VM does not become a member while all members answer`() {
        val cluster = formed(Random(1))
        cluster.join(spare)
        cluster.run(8_000)
        assertEquals(setOf("vm1", "vm2", "vm3"), memberNames(cluster))
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a standby VM replaces a failed member, and the quorum then tolerates another failure`(seed: Int) {
        val cluster = formed(Random(seed))
        cluster.join(spare)
        cluster.run(2_000)
        repeat(20) { change(cluster) }
        val lost = cluster.vms[seed % 3]
        cluster.crash(lost)
        cluster.run(12_000)
        assertEquals(setOf("vm1", "vm2", "vm3", "spare") - lost.value, memberNames(cluster))
        cluster.crash(cluster.vms.first { it != lost && it != spare && it in cluster.nodes })
        cluster.run(6_000)
        change(cluster)
        assertEquals(21, cluster.leader().machine.control.revision)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a member replaced during a partition becomes a standby, follows the leader, and replaces the next failed member`(seed: Int) {
        val cluster = formed(Random(seed))
        cluster.join(spare)
        cluster.run(2_000)
        val isolated = cluster.vms[seed % 3]
        cluster.cutOff(setOf(isolated))
        cluster.run(8_000)
        assertEquals(setOf("vm1", "vm2", "vm3", "spare") - isolated.value, memberNames(cluster))
        cluster.cutOff(emptySet())
        cluster.run(4_000)
        assertEquals(cluster.leader().self, (cluster.nodes.getValue(isolated).role as? Role.Follower)?.leader)
        change(cluster)
        assertEquals(1, cluster.nodes.getValue(isolated).machine.control.revision)
        val lost = cluster.vms.first { it != isolated && it != cluster.leader().self.vm }
        cluster.crash(lost)
        cluster.run(10_000)
        assertEquals(setOf("vm1", "vm2", "vm3", "spare") - lost.value, memberNames(cluster))
    }

    @Test
    fun `a VM with an empty disk that may not form a quorum forms none`() {
        val state = ReplicationState(
            Member(VmId("vm1"), DiskId("new")),
            ReplicationSettings(vms = setOf(VmId("vm1")), mayBootstrap = false, allowsStandby = true),
            seed = 1,
            run = RunId("run"),
        )
        val after = (0L..5_000L step 100).fold(state) { known, now ->
            ReplicationDecider().decide(known, ReplicationMessage.Tick, now).state
        }
        assertTrue(after.log.members.isEmpty())
    }

    private fun formed(random: Random): FakeCluster = FakeCluster(random, allowsStandby = true).also { it.run(2_000) }

    private fun memberNames(cluster: FakeCluster) = cluster.leader().log.members.map { it.vm.value }.toSet()

    private fun change(cluster: FakeCluster) {
        number += 1
        val proposal = cluster.propose(ControlCommand.ChangePlans(ChangeId("c$number"), PlanList(number)))
        cluster.send(proposal, cluster.leader().self.vm)
        cluster.run(400)
        assertNotNull(cluster.proposals[proposal].outcome)
    }
}
