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
import org.buckthornhub.suspension.SuspensionDetector
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Owns the replicated log of a control VM and its storage. */
internal class ControlTask(
    initial: ReplicationState,
    private val storage: ControlStorage,
    private val linkTo: (VmId) -> Mailbox<PeerMessage>?,
    private val clock: Clock,
) : Task<ControlMessage>("control"),
    ControlLog,
    FeedSource {
    private val decider = ReplicationDecider()
    private val suspensionDetector = SuspensionDetector(clock)
    private val published = MutableStateFlow(initial)
    private var nextToken = 0L
    private var proposals: PersistentMap<Long, CompletableDeferred<Result<CommandOutcome, ProxyError>>> = persistentMapOf()
    private var confirmations: PersistentMap<Long, CompletableDeferred<Result<Long, ProxyError>>> = persistentMapOf()

    // After a failed write the disk may hold less than this task has promised; a restart reads what is there.
    override val isFailFast: Boolean get() = true

    override val state: StateSource<ControlState> = StateSource { published.value.machine.control }
    override val leadership: StateSource<ControlLeadership> = StateSource { leadershipOf(published.value) }

    override fun view(): ReplicatedView = published.value.let { state ->
        ReplicatedView(state.machine.control, state.freshMillis.takeUnless { suspensionDetector.wasSuspended() })
    }

    /** Emits after each change of the replication state. */
    val changes: Flow<Any> get() = published

    /** VMs that are members of the quorum, and on the leader also its standby VMs. */
    val memberVms: StateSource<Set<VmId>> = StateSource {
        val state = published.value
        val followers = (state.role as? Role.Leader)?.followers?.keys.orEmpty()
        (state.log.members + followers).map { it.vm }.toSet()
    }

    override suspend fun awaitNewer(revision: Long) {
        published.first { it.machine.control.revision > revision }
    }

    override suspend fun propose(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val reply = CompletableDeferred<Result<CommandOutcome, ProxyError>>()
        return if (offer(ControlMessage.Propose(command, reply))) reply.await() else overloaded
    }

    override suspend fun confirmLeadership(): Result<Long, ProxyError> {
        val reply = CompletableDeferred<Result<Long, ProxyError>>()
        return if (offer(ControlMessage.Confirm(reply))) reply.await() else overloaded
    }

    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, TICK_MILLIS, ControlMessage.Replicate(ReplicationMessage.Tick))
    }

    override suspend fun handle(message: ControlMessage): Unit = when (message) {
        is ControlMessage.Replicate -> decide(message.message)
        is ControlMessage.Exchange -> exchange(message)
        is ControlMessage.Propose -> {
            proposals = proposals.put(++nextToken, message.reply)
            decide(ReplicationMessage.Propose(nextToken, message.command))
        }
        is ControlMessage.Confirm -> {
            confirmations = confirmations.put(++nextToken, message.reply)
            decide(ReplicationMessage.Confirm(nextToken))
        }
    }

    // Messages to the sender are returned in the reply to its request, which halves the requests between members.
    private suspend fun exchange(exchange: ControlMessage.Exchange) {
        val sender = exchange.message.from.vm
        val others = decideAndSync(ReplicationMessage.Received(exchange.message))
        val (repliesToSender, remaining) = others.partition { it is ReplicationEffect.Send && it.to == sender }
        exchange.replies.complete(repliesToSender.filterIsInstance<ReplicationEffect.Send>().map { it.message })
        remaining.forEach { carryOut(it) }
    }

    private suspend fun decide(message: ReplicationMessage): Unit = decideAndSync(message).forEach { carryOut(it) }

    // Publishes the state before any reply, so that a caller that has its reply also reads the state behind it.
    private suspend fun decideAndSync(message: ReplicationMessage): List<ReplicationEffect> {
        if (suspensionDetector.checkAndReset()) {
            logger.warn { "this VM was suspended or its wall clock was set forward; earlier confirmations by a majority are discarded" }
            published.value = decider.decide(published.value, ReplicationMessage.Suspended, clock.nowMillis()).state
        }
        val decision = decider.decide(published.value, message, clock.nowMillis())
        val (durable, others) = decision.effects.partition { it is ReplicationEffect.Persist || it is ReplicationEffect.Rewrite }
        durable.forEach { carryOut(it) }
        logChanges(before = published.value, after = decision.state)
        published.value = decision.state
        return others
    }

    private fun logChanges(before: ReplicationState, after: ReplicationState) {
        val leadership = leadershipOf(after)
        val formerLeader = leadershipOf(before).leader
        if (leadership.leader != formerLeader) {
            logger.info {
                "${leadership.leader ?: "nobody"} leads the control quorum in term ${leadership.controlTerm}, previously " +
                    (formerLeader ?: "nobody")
            }
        }
        if (before.log.members != after.log.members) {
            logger.info {
                "control quorum members: ${after.log.members.map { it.vm }}, this VM is ${if (after.isMember) "a member" else "no member"}"
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
        val overloaded = Err(ProxyError(ErrorKind.NO_QUORUM, "the message queue of this control VM is full"))
    }
}
