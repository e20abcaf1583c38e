package org.buckthornhub.replication

import org.buckthornhub.control.ChangeId
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.PlanList
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** A member's state never counts as confirmed later than a majority confirmed it, whatever restarts and with whatever clock. */
internal class RestartedClockPropertyTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no state counts as confirmed later than a majority confirmed it`(seeds: LongRange) {
        for (seed in seeds) {
            try {
                run(seed)
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    private fun run(seed: Long) {
        val random = Random(seed)
        val cluster = FakeCluster(random, size = if (seed % 10 == 0L) 5 else 3)
        cluster.advance(random.nextLong(100, LONGEST_RUN_MILLIS))
        settle(cluster)
        repeat(STEPS) {
            act(cluster, random)
            cluster.checkFreshness()
        }
    }

    private fun act(cluster: FakeCluster, random: Random) {
        val vm = cluster.vms.random(random)
        val packet = if (cluster.packets.isEmpty()) null else random.nextInt(cluster.packets.size)
        when (random.nextInt(100)) {
            in 0..24 -> cluster.advance(random.nextLong(10, 120))
            in 25..69 -> if (packet != null) cluster.deliver(packet, isDoubled = random.nextInt(8) == 0)
            in 70..72 -> if (packet != null) cluster.drop(packet)
            in 73..80 -> cluster.send(cluster.propose(command(cluster)), vm)
            in 81..88 -> cluster.reboot(vm, startMillis(cluster, vm, random))
            89 -> cluster.vms.forEach { cluster.reboot(it, startMillis(cluster, it, random)) }
            90 -> if (cluster.isFullyReplicated()) {
                cluster.loseDisk(vm)
                cluster.reboot(vm, startMillis(cluster, vm, random))
            }
            91 -> cluster.step(vm, ReplicationMessage.Suspended)
            in 92..95 -> cluster.cutOff(setOf(vm))
            else -> cluster.cutOff(emptySet())
        }
    }

    // The clock starts again, goes on, or starts later than the former run ended.
    private fun startMillis(cluster: FakeCluster, vm: VmId, random: Random): Long = when (random.nextInt(4)) {
        0 -> cluster.localMillis(vm)
        1 -> cluster.localMillis(vm) + random.nextLong(1, LONGEST_RUN_MILLIS)
        else -> random.nextLong(1, 1_000)
    }

    private fun command(cluster: FakeCluster): ControlCommand {
        val numbers = cluster.nodes.values.map { it.machine.control.configuration.plans.number } + 0L
        return ControlCommand.ChangePlans(ChangeId("change-${cluster.proposals.size}"), PlanList(number = numbers.max() + 1))
    }

    private fun settle(cluster: FakeCluster) = repeat(SETTLING_ROUNDS) {
        cluster.advance(50)
        repeat(SETTLING_PACKETS) { if (cluster.packets.isNotEmpty()) cluster.deliver(0) }
    }

    private companion object {
        private const val LONGEST_RUN_MILLIS = 100_000L
        private const val STEPS = 200
        private const val SETTLING_ROUNDS = 24
        private const val SETTLING_PACKETS = 24
        private const val CHUNK = 500L

        @JvmStatic
        fun seeds(): List<LongRange> = (0L until 10L).map { it * CHUNK until (it + 1) * CHUNK }
    }
}
