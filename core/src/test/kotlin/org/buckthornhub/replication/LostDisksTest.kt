package org.buckthornhub.replication

import org.buckthornhub.control.ChangeId
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.PlanList
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

// Guards against an acknowledged change that is lost with as many disks as the platform may lose at once.
internal class LostDisksTest {
    @ParameterizedTest
    @CsvSource("3, 1, 1", "3, 2, 1", "5, 2, 2", "5, 5, 2")
    fun `a quorum that was formed by three VMs bears the loss of several disks`(quorumSize: Int, standby: Int, lostDisks: Int) =
        (1..SEEDS).forEach { seed ->
            val random = Random(seed)
            val cluster = FakeCluster(random, allowsStandby = true, quorumSize = quorumSize)
            run(cluster, 2_000)
            repeat(standby) { cluster.join(VmId("spare$it")) }
            run(cluster, 4_000)
            change(cluster, seed)
            val lost = leader(cluster, seed).log.members.map { it.vm }.shuffled(random).take(lostDisks)
            val others = cluster.vms - lost.toSet()
            lost.forEach { cluster.loseDisk(it) }
            others.forEach { cluster.crash(it) }
            (lost + others).forEach { cluster.restart(it) }
            run(cluster, 8_000)
            assertEquals(1, leader(cluster, seed).machine.control.revision, "seed $seed")
        }

    private fun change(cluster: FakeCluster, seed: Int) {
        val proposal = cluster.propose(ControlCommand.ChangePlans(ChangeId("c"), PlanList(1)))
        cluster.send(proposal, leader(cluster, seed).self.vm)
        run(cluster, 400)
        assertNotNull(cluster.proposals[proposal].outcome, "seed $seed")
    }

    private fun leader(cluster: FakeCluster, seed: Int): ReplicationState =
        assertNotNull(cluster.nodes.values.filter { it.role is Role.Leader }.maxByOrNull { it.durable.term }, "seed $seed: no leader")

    private fun run(cluster: FakeCluster, millis: Long) {
        val end = cluster.nowMillis + millis
        while (cluster.nowMillis < end) {
            while (cluster.packets.isNotEmpty()) cluster.deliver(0)
            cluster.advance(20)
        }
    }

    private companion object {
        const val SEEDS = 16
    }
}
