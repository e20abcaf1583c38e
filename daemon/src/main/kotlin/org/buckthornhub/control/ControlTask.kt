package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withContext
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.replication.ControlStorage
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.replication.ReplicationDecider
import org.buckthornhub.replication.ReplicationEffect
import org.buckthornhub.replication.ReplicationMessage
import org.buckthornhub.replication.ReplicationState
import org.buckthornhub.replication.Role
import org.buckthornhub.suspension.SuspensionWatch
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Owns the replicated log of a control VM, with its disk. */
internal class ControlTask(
    initial: ReplicationState,
    private val storage: ControlStorage,
    private val linkTo: (VmId) -> Mailbox<PeerMessage>?,
    private val clock: Clock,
) : Task<ControlMessage>("control"),
    ControlLog,
    FeedSource {
    private val decider = ReplicationDecider()
    private val suspensions = SuspensionWatch(clock)
    private val published = MutableStateFlow(initial)
    private var nextToken = 0L
    private var proposals: PersistentMap<Long, CompletableDeferred<Result<CommandOutcome, ProxyError>>> = persistentMapOf()
    private var confirmations: PersistentMap<Long, CompletableDeferred<Result<Long, ProxyError>>> = persistentMapOf()

    override val state: StateSource<ControlState> = StateSource { published.value.machine.control }
    override val leadership: StateSource<ControlLeadership> = StateSource { leadershipOf(published.value) }

    override fun view(): ReplicatedView = published.value.let { state ->
        ReplicatedView(state.machine.control, state.freshMillis.takeUnless { suspensions.isDue() } ?: 0)
    }

    /** Emits after each change of whatever is known here. */
    val changes: Flow<Any> get() = published

    /** The VMs that take part in the quorum, and those that this leader knows to stand by. */
    val memberVms: StateSource<Set<VmId>> = StateSource {
        val state = published.value
        val followers = (state.role as? Role.Leader)?.followers?.keys.orEmpty()
        (state.log.members + followers).map { it.vm }.toSet()
    }

    override suspend fun awaitNewer(revision: Long) {
        published.first { it.machine.control.revision > revision }
    }

    override suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val answer = CompletableDeferred<Result<CommandOutcome, ProxyError>>()
        return if (offer(ControlMessage.Propose(command, answer))) answer.await() else overloaded
    }

    override suspend fun confirmLeadership(): Result<Long, ProxyError> {
        val answer = CompletableDeferred<Result<Long, ProxyError>>()
        return if (offer(ControlMessage.Confirm(answer))) answer.await() else overloaded
    }

    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, TICK_MILLIS, ControlMessage.Replicate(ReplicationMessage.Tick))
    }

    override suspend fun handle(message: ControlMessage): Unit = when (message) {
        is ControlMessage.Replicate -> decide(message.message)
        is ControlMessage.Exchange -> exchange(message)
        is ControlMessage.Propose -> {
            proposals = proposals.put(++nextToken, message.answer)
            decide(ReplicationMessage.Propose(nextToken, message.command))
        }
        is ControlMessage.Confirm -> {
            confirmations = confirmations.put(++nextToken, message.answer)
            decide(ReplicationMessage.Confirm(nextToken))
        }
    }

    // What goes back to the sender rides on the reply to its request: half the requests between members.
    private suspend fun exchange(exchange: ControlMessage.Exchange) {
        val sender = exchange.message.from.vm
        val others = decideAndSync(ReplicationMessage.Received(exchange.message))
        val (back, onward) = others.partition { it is ReplicationEffect.Send && it.to == sender }
        exchange.answers.complete(back.filterIsInstance<ReplicationEffect.Send>().map { it.message })
        onward.forEach { carryOut(it) }
    }

    private suspend fun decide(message: ReplicationMessage): Unit = decideAndSync(message).forEach { carryOut(it) }

    // The state is published before any answer, so that whoever got an answer reads what it speaks of.
    private suspend fun decideAndSync(message: ReplicationMessage): List<ReplicationEffect> {
        if (suspensions.look()) {
            logger.warn { "this VM stood still or its calendar was set forward; proofs of a majority from before are dropped" }
            published.value = decider.decide(published.value, ReplicationMessage.Suspended, clock.nowMillis()).state
        }
        val decision = decider.decide(published.value, message, clock.nowMillis())
        val (durable, others) = decision.effects.partition { it is ReplicationEffect.Persist || it is ReplicationEffect.Rewrite }
        durable.forEach { carryOut(it) }
        note(before = published.value, after = decision.state)
        published.value = decision.state
        return others
    }

    private fun note(before: ReplicationState, after: ReplicationState) {
        val leadership = leadershipOf(after)
        val formerLeader = leadershipOf(before).leader
        if (leadership.leader != formerLeader) {
            logger.info {
                "${leadership.leader ?: "nobody"} leads the control quorum in term ${leadership.controlTerm}, before it was " +
                    (formerLeader ?: "nobody")
            }
        }
        if (before.log.members != after.log.members) {
            logger.info {
                "members of the control quorum: ${after.log.members.map { it.vm }}, this VM is ${if (after.isMember) "one" else "none"}"
            }
        }
    }

    private suspend fun carryOut(effect: ReplicationEffect) {
        when (effect) {
            is ReplicationEffect.Persist -> withContext(Dispatchers.IO) { storage.append(effect.records) }
            is ReplicationEffect.Rewrite -> withContext(Dispatchers.IO) { storage.rewrite(effect.records) }
            is ReplicationEffect.Send -> linkTo(effect.to)?.offer(effect.message)
            is ReplicationEffect.ScheduleFlush -> offer(ControlMessage.Replicate(ReplicationMessage.Flush))
            is ReplicationEffect.AnswerProposal -> {
                proposals[effect.token]?.complete(effect.result)
                proposals = proposals.remove(effect.token)
            }
            is ReplicationEffect.AnswerConfirmation -> {
                confirmations[effect.token]?.complete(effect.result)
                confirmations = confirmations.remove(effect.token)
            }
        }
    }

    private fun leadershipOf(state: ReplicationState): ControlLeadership = when (val role = state.role) {
        is Role.Leader -> ControlLeadership(state.durable.term, state.self.vm, isLeader = true, sinceMillis = role.sinceMillis)
        is Role.Follower -> ControlLeadership(state.durable.term, role.leader?.vm)
        is Role.Candidate, is Role.PreCandidate -> ControlLeadership(state.durable.term)
    }

    private companion object {
        const val TICK_MILLIS = 20L
        val logger = KotlinLogging.logger {}
        val overloaded = Err(ProxyError(ErrorKind.NO_QUORUM, "this control VM has too much to do"))
    }
}
