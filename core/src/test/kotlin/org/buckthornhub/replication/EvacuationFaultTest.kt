package org.buckthornhub.replication

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.Evacuations
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Faults between an order to evacuate a zone and its acknowledgement, and after it. */
internal class EvacuationFaultTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an acknowledged evacuation is in force once, and survives faults`(case: EvacuationFaultCase) {
        val cluster = FakeCluster(Random(1))
        cluster.run(2_000)
        val order = cluster.propose(ControlCommand.SetEvacuation(zone, isEvacuated = true, expected = 0))
        val leader = cluster.leader().self.vm
        cluster.send(order, leader)
        case.fault(cluster, leader)
        cluster.cutOff(emptySet())
        cluster.vms.forEach { cluster.restart(it) }
        cluster.run(5_000)
        assertIs<CommandOutcome.Accepted>(cluster.proposals[order].outcome)
        cluster.vms.forEach { assertEquals(Evacuations(setOf(zone), 1), cluster.evacuationsAt(it), "at $it") }
    }

    private companion object {
        private val zone = ZoneId("a")

        private fun FakeCluster.evacuationsAt(vm: VmId) = nodes.getValue(vm).machine.control.evacuations

        private fun FakeCluster.sendAgain() {
            run(3_000)
            send(0, leader().self.vm)
            run(1_000)
        }

        @JvmStatic
        fun cases(): List<EvacuationFaultCase> = listOf(
            EvacuationFaultCase("no fault") { run(1_000) },
            EvacuationFaultCase("the leader is lost between commit and answer") { leader ->
                // The followers have stored the order, but their answers don't reach the leader.
                while (packets.any { it.from == leader }) deliver(packets.indexOfFirst { it.from == leader })
                crash(leader)
                sendAgain()
            },
            EvacuationFaultCase("the leader is lost before it has sent the order") { leader ->
                cutOff(setOf(leader))
                run(100)
                crash(leader)
                sendAgain()
            },
            EvacuationFaultCase("the order is sent twice") { leader ->
                send(0, leader)
                run(1_000)
            },
            EvacuationFaultCase("the order is sent to two VMs that lead in turn") { leader ->
                cutOff(setOf(leader))
                sendAgain()
            },
            EvacuationFaultCase("a follower is partitioned") { leader ->
                cutOff(setOf(vms.first { it != leader }))
                run(3_000)
            },
            EvacuationFaultCase("a member loses its disk after the acknowledgement") { leader ->
                run(1_000)
                loseDisk(leader)
            },
            EvacuationFaultCase("all members restart from disk") {
                run(1_000)
                vms.forEach { crash(it) }
            },
        )
    }
}
