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
            cluster.run(2_000)
            repeat(standby) { cluster.join(VmId("spare$it")) }
            cluster.run(4_000)
            change(cluster)
            val lost = cluster.leader("seed $seed: no leader").log.members.map { it.vm }.shuffled(random).take(lostDisks)
            val others = cluster.vms - lost.toSet()
            lost.forEach { cluster.loseDisk(it) }
            others.forEach { cluster.crash(it) }
            (lost + others).forEach { cluster.restart(it) }
            cluster.run(8_000)
            assertEquals(1, cluster.leader("seed $seed: no leader").machine.control.revision, "seed $seed")
        }

    private fun change(cluster: FakeCluster) {
        val proposal = cluster.propose(ControlCommand.ChangePlans(ChangeId("c"), PlanList(1)))
        cluster.send(proposal, cluster.leader().self.vm)
        cluster.run(400)
        assertNotNull(cluster.proposals[proposal].outcome)
    }

    private companion object {
        const val SEEDS = 16
    }
}
