package org.buckthornhub.replication

import org.buckthornhub.control.ChangeId
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanList
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Compares the replicated state with a single-copy reference model over random schedules of failures. */
internal class ReplicationDifferentialTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `outcomes equal those of a single copy`(seeds: LongRange) {
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
        settle(cluster)
        repeat(STEPS) { act(cluster, random) }
        heal(cluster)
        compare(cluster)
    }

    @Suppress("CyclomaticComplexMethod")
    private fun act(cluster: FakeCluster, random: Random) {
        val vm = cluster.vms.random(random)
        val packet = if (cluster.packets.isEmpty()) null else random.nextInt(cluster.packets.size)
        when (random.nextInt(100)) {
            in 0..14 -> cluster.advance(random.nextLong(10, 120))
            in 15..59 -> if (packet != null) cluster.deliver(packet, isDoubled = random.nextInt(8) == 0)
            in 60..64 -> if (packet != null) cluster.drop(packet)
            in 65..76 -> cluster.send(cluster.propose(command(cluster, random)), vm)
            in 77..82 -> if (cluster.proposals.isNotEmpty()) cluster.send(random.nextInt(cluster.proposals.size), vm)
            in 83..85 -> cluster.confirm(vm)
            in 86..88 -> cluster.crash(vm)
            in 89..91 -> if (packet != null) {
                cluster.run {
                    step(packets[packet].to, ReplicationMessage.Received(packets[packet].message), crashAfter = random.nextInt(4))
                }
            }
            in 92..94 -> cluster.vms.forEach { cluster.restart(it) }
            95 -> if (cluster.isFullyReplicated()) cluster.loseDisk(vm)
            96 -> cluster.cutOff(setOf(vm))
            else -> cluster.cutOff(emptySet())
        }
    }

    private fun command(cluster: FakeCluster, random: Random): ControlCommand {
        val id = ChangeId("change-${cluster.proposals.size}")
        val keyName = "key-${random.nextInt(4)}"
        return when (random.nextInt(4)) {
            0 -> ControlCommand.GiveKey(id, keyName, OrganisationId("o${random.nextInt(2)}"), KeyDigest.of(ApiKey(id.value)))
            1 -> ControlCommand.WithdrawKey(keyName)
            else -> {
                val numbers = cluster.nodes.values.map { it.machine.control.configuration.plans.number } + 0L
                ControlCommand.ChangePlans(id, PlanList(number = numbers.max() + 1))
            }
        }
    }

    private fun heal(cluster: FakeCluster) {
        cluster.cutOff(emptySet())
        cluster.vms.forEach { cluster.restart(it) }
        settle(cluster)
        repeat(HEALING_ROUNDS) {
            val open = cluster.proposals.indices.filter { cluster.proposals[it].outcome == null }
            if (open.isEmpty() && cluster.isFullyReplicated()) return
            open.forEach { index -> cluster.vms.forEach { cluster.send(index, it) } }
            settle(cluster)
        }
        assertTrue(cluster.isFullyReplicated(), "the cluster did not recover: ${cluster.nodes}")
    }

    private fun settle(cluster: FakeCluster) = repeat(SETTLING_ROUNDS) {
        cluster.advance(50)
        repeat(SETTLING_PACKETS) { if (cluster.packets.isNotEmpty()) cluster.deliver(0) }
    }

    private fun compare(cluster: FakeCluster) {
        val model = ControlStateModel()
        val accepted = cluster.proposals.mapNotNull { proposal ->
            val outcome = assertNotNull(proposal.outcome, "no answer: $proposal")
            (outcome as? CommandOutcome.Accepted)?.let { it.revision to proposal.command }
        }
        val ordered = accepted.sortedBy { it.first }.filter { (_, command) -> command !is ControlCommand.WithdrawKey }
        ordered.forEach { (revision, command) -> assertTrue(model.accept(command), "revision $revision: $command") }
        assertEquals(ordered.size, ordered.map { it.first }.toSet().size, "two changes with one revision")
        val final = cluster.nodes.values.maxBy { it.commitIndex }.machine.control.configuration
        assertEquals(model.plans, final.plans)
        assertEquals(model.keys, final.keys.values.associate { it.keyName to it.organisation })
        compareWithdrawals(cluster, final)
    }

    // Withdrawals carry no list number, so only this is checked: each accepted one took effect, and no other key is withdrawn.
    private fun compareWithdrawals(cluster: FakeCluster, final: Configuration) {
        val withdrawn = final.keys.values.filter { it.withdrawn }.map { it.keyName }.toSet()
        val withdrawals = cluster.proposals.filter { it.command is ControlCommand.WithdrawKey }
        val asked = withdrawals.map { (it.command as ControlCommand.WithdrawKey).keyName }.toSet()
        val accepted = withdrawals
            .filter { it.outcome is CommandOutcome.Accepted }
            .map { (it.command as ControlCommand.WithdrawKey).keyName }
            .toSet()
        assertEquals(emptySet(), accepted - withdrawn, "an accepted withdrawal was lost")
        assertEquals(emptySet(), withdrawn - asked, "a key was withdrawn without a withdrawal")
    }

    private companion object {
        private const val STEPS = 140
        private const val SETTLING_ROUNDS = 24
        private const val SETTLING_PACKETS = 24
        private const val HEALING_ROUNDS = 12
        private const val CHUNK = 1_000L

        @JvmStatic
        fun seeds(): List<LongRange> = (0L until 10L).map { it * CHUNK until (it + 1) * CHUNK }
    }
}
