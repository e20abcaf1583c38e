package org.buckthornhub.replication

import com.github.michaelbull.result.get
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.MachineState
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Control VMs on a simulated network that loses, duplicates, delays and reorders messages; all choices come from [random].
 *
 * Each VM has a monotonic clock of its own. It equals [nowMillis] until the VM is rebooted.
 */
internal class FakeCluster(
    private val random: Random,
    size: Int = 3,
    compactAfter: Int = 12,
    allowsStandby: Boolean = false,
    private val zones: Map<VmId, ZoneId> = emptyMap(),
    quorumSize: Int = size,
) {
    var vms = (1..size).map { VmId("vm$it") }
        private set
    private val settings =
        ReplicationSettings(
            vms = vms.toSet(),
            size = quorumSize,
            allowsStandby = allowsStandby,
            compactAfter = compactAfter,
            batchLimit = 8,
        )
    private val decider = ReplicationDecider()
    private var diskCount = 0
    private var runCount = 0
    private var clockOffsets: Map<VmId, Long> = emptyMap()
    private var commits = CommitHistory()
    private var disks = vms.associateWith { newDisk(it) }
    var nodes: Map<VmId, ReplicationState> = vms.associateWith { boot(it) }
        private set
    var packets: List<Packet> = emptyList()
        private set
    private var cut: Set<VmId> = emptySet()
    private var machines: Map<Long, MachineState> = emptyMap()
    private var tokens: Map<Long, Int> = emptyMap()
    private var confirmations: Map<Long, Long> = emptyMap()
    var nowMillis = 0L
        private set
    var proposals: List<Proposal> = emptyList()
        private set
    val maxAccepted: Long get() = proposals.maxOfOrNull { (it.outcome as? CommandOutcome.Accepted)?.revision ?: 0 } ?: 0

    fun advance(millis: Long) {
        nowMillis += millis
        nodes.keys.forEach { step(it, ReplicationMessage.Tick) }
    }

    /** Delivers every message at once and in order for [millis]. */
    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) {
            while (packets.isNotEmpty()) deliver(0)
            advance(TICK_MILLIS)
        }
    }

    /** Returns the leader of the highest term; fails with [detail] if there is none. */
    fun leader(detail: String = "there is no leader"): ReplicationState =
        assertNotNull(nodes.values.filter { it.role is Role.Leader }.maxByOrNull { it.durable.term }, detail)

    fun deliver(index: Int, isDoubled: Boolean = false) {
        val packet = packets[index]
        if (!isDoubled) packets = packets.filterIndexed { i, _ -> i != index }
        if (packet.from !in cut && packet.to !in cut) step(packet.to, ReplicationMessage.Received(packet.message))
    }

    fun drop(index: Int) {
        packets = packets.filterIndexed { i, _ -> i != index }
    }

    fun propose(command: ControlCommand): Int {
        proposals = proposals + Proposal(command, maxAccepted)
        return proposals.lastIndex
    }

    /** Sends or resends proposal [index] to [vm]. */
    fun send(index: Int, vm: VmId) {
        val token = tokens.size + 1L
        tokens = tokens + (token to index)
        step(vm, ReplicationMessage.Propose(token, proposals[index].command))
    }

    fun confirm(vm: VmId) {
        val token = -1L - confirmations.size
        confirmations = confirmations + (token to maxAccepted)
        step(vm, ReplicationMessage.Confirm(token))
    }

    fun cutOff(vms: Set<VmId>) {
        cut = vms
    }

    fun crash(vm: VmId) {
        nodes = nodes - vm
    }

    fun restart(vm: VmId) {
        if (vm !in nodes) nodes = nodes + (vm to boot(vm))
    }

    /** Restarts [vm] with a monotonic clock that starts at [startMillis]; an open request of another VM may still hold its messages. */
    fun reboot(vm: VmId, startMillis: Long) {
        crash(vm)
        clockOffsets = clockOffsets + (vm to startMillis - nowMillis)
        restart(vm)
    }

    /** Returns the monotonic time of [vm]. */
    fun localMillis(vm: VmId): Long = nowMillis + (clockOffsets[vm] ?: 0)

    /** Checks that no member counts its state as confirmed at a time after which the quorum committed an entry that it lacks. */
    fun checkFreshness() = nodes.forEach { (vm, state) ->
        val freshMillis = state.freshMillis?.let { it - localMillis(vm) + nowMillis } ?: return@forEach
        assertTrue(freshMillis <= nowMillis, "$vm counts its state as confirmed ${freshMillis - nowMillis} ms from now")
        val required = commits.indexBefore(freshMillis)
        assertTrue(
            state.commitIndex >= required,
            "$vm counts its state as confirmed at $freshMillis, but lacks entries ${state.commitIndex + 1} to $required",
        )
    }

    /** Starts an additional VM with an empty disk that is configured with the initial VMs only. */
    fun join(vm: VmId) {
        vms = vms + vm
        disks = disks + (vm to newDisk(vm))
        restart(vm)
    }

    /** Returns whether every disk belongs to a member, so that losing one more disk leaves a majority. */
    fun isFullyReplicated(): Boolean {
        val leader = nodes.values.filter { it.role is Role.Leader }.maxByOrNull { it.durable.term } ?: return false
        val isSettled = leader.commitIndex >= leader.log.membersIndex && leader.commitIndex >= (leader.role as Role.Leader).firstIndex
        return isSettled && leader.log.members == disks.values.map { it.member }.toSet()
    }

    fun loseDisk(vm: VmId) {
        crash(vm)
        disks = disks + (vm to newDisk(vm))
    }

    /** Executes the effects of one decision; if [crashAfter] is set, the VM crashes after that many effects. */
    fun step(vm: VmId, message: ReplicationMessage, crashAfter: Int? = null) {
        val state = nodes[vm] ?: return
        val decision = decider.decide(state, message, localMillis(vm))
        val effects = if (crashAfter == null) decision.effects else decision.effects.take(crashAfter)
        nodes = nodes + (vm to decision.state)
        if (crashAfter == null) check(decision.state)
        effects.forEach { carryOut(vm, it) }
        if (crashAfter != null) {
            decision.effects.getOrNull(crashAfter)?.let { disks.getValue(vm).writePartially(it, keptRecords = random.nextInt(2)) }
            crash(vm)
        }
    }

    private fun carryOut(vm: VmId, effect: ReplicationEffect) {
        when (effect) {
            is ReplicationEffect.Persist, is ReplicationEffect.Rewrite -> disks.getValue(vm).write(effect)
            is ReplicationEffect.Send -> packets = (packets + Packet(vm, effect.to, effect.message)).takeLast(MAX_PACKETS)
            is ReplicationEffect.ScheduleFlush -> step(vm, ReplicationMessage.Flush)
            is ReplicationEffect.AnswerProposal -> effect.result.get()?.let { recordOutcome(tokens.getValue(effect.token), it) }
            is ReplicationEffect.AnswerConfirmation -> if (effect.result.get() != null) {
                assertTrue(
                    nodes.getValue(vm).machine.control.revision >= confirmations.getValue(effect.token),
                    "a confirmed leader is behind",
                )
            }
        }
    }

    private fun recordOutcome(index: Int, outcome: CommandOutcome) {
        val proposal = proposals[index]
        // A withdrawal has no change id: a resend may succeed after the first attempt found no such key.
        val isRepeat = proposal.outcome != null && proposal.command !is ControlCommand.WithdrawKey
        if (isRepeat) return assertEquals(proposal.outcome, outcome, "a resend got a different outcome")
        if (outcome is CommandOutcome.Accepted && proposal.command !is ControlCommand.WithdrawKey) {
            assertTrue(
                outcome.revision > proposal.acceptedBefore,
                "accepted with a revision not above that of a change that was answered earlier",
            )
        }
        proposals = proposals.toMutableList().also { it[index] = proposal.copy(outcome = outcome) }
    }

    // Checks that all members have the same state at the same commit index.
    private fun check(state: ReplicationState) {
        commits = commits.with(nowMillis, state.commitIndex)
        val known = machines[state.commitIndex]
        if (known == null) machines = machines + (state.commitIndex to state.machine)
        if (known != null && known !== state.machine) assertEquals(known, state.machine, "two states at index ${state.commitIndex}")
    }

    private fun newDisk(vm: VmId) = FakeDisk(Member(vm, DiskId("${vm.value}-disk${++diskCount}")))

    private fun boot(vm: VmId): ReplicationState {
        val disk = disks.getValue(vm)
        return ReplicationState(
            disk.member,
            settings.copy(zone = zones[vm]),
            seed = random.nextLong(),
            run = RunId("run${++runCount}"),
            durable = disk.load(),
            resumedAtMillis = localMillis(vm),
        )
    }

    private companion object {
        const val MAX_PACKETS = 60
        const val TICK_MILLIS = 20L
    }
}
