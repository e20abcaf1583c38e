package org.buckthornhub.target.owner

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.queue.QueuePolicy
import org.buckthornhub.routing.PositionSample
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.statement.isRead
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import kotlin.random.Random

/** Runs [OwnerDecider] against a [ModelTarget] in virtual time. */
internal class OwnerSimulation(
    seed: Int = 1,
    private val faults: Faults = Faults(),
    limits: OwnerLimits = OwnerLimits(),
    var model: ModelTarget = ModelTarget(),
    val role: TargetRole = TargetRole.PRIMARY,
    private val leadership: GroupLeadership? = null,
    private val samples: (Long) -> List<PositionSample> = { emptyList() },
) {
    private val random = Random(seed)
    private val decider = OwnerDecider(limits)
    private val entry =
        TargetEntry(
            model.target,
            GroupId(
                "g",
            ),
            ZoneId("a"), "127.0.0.1:1", role, model.term, LogPosition.START, LogPosition.START, model.slots,
        )
    var state = OwnerState.of(entry, limits, QueuePolicy.FAIR)
    var replies: Map<Long, Result<Answer, ProxyError>> = emptyMap()
    var repliedMillis: Map<Long, Long> = emptyMap()
    var now = 0L
    private var events: List<SimulationEvent> = emptyList()
    private var order = 0

    fun submitAt(millis: Long, ticket: Long, call: () -> TargetCall): Unit = at(millis) {
        deliver(OwnerMessage.Submit(ticket, call(), TransactionId("t$ticket")))
    }

    fun deliverAt(millis: Long, message: OwnerMessage): Unit = at(millis) { deliver(message) }

    /** Runs until [millis], with a tick every 20 ms. */
    fun runUntil(millis: Long) {
        (now..millis step TICK_MILLIS).forEach { deliverAt(it, OwnerMessage.Tick) }
        while (true) {
            val next = events.minWithOrNull(compareBy({ it.atMillis }, { it.order })) ?: return
            if (next.atMillis > millis) return
            events = events - next
            now = next.atMillis
            next.action()
        }
    }

    fun errorOf(ticket: Long): ErrorKind? = replies.getValue(ticket).let { if (it.isErr) it.component2()?.kind else null }

    private fun at(millis: Long, action: () -> Unit) {
        order += 1
        events = events + SimulationEvent(millis, order, action)
    }

    private fun deliver(message: OwnerMessage) {
        val lease = if (role == TargetRole.PRIMARY && now < faults.leaseEndsMillis) Term(1) else null
        val decision = decider.decide(state, OwnerInput(message, lease, leadership), now)
        state = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Open -> at(now + CONNECT_MILLIS) { open(effect.slot) }
            is OwnerEffect.Execute -> execute(effect)
            is OwnerEffect.Ping -> ping(effect)
            is OwnerEffect.Close -> at(now + 1) { close(effect) }
            is OwnerEffect.Reply -> reply(effect)
            is OwnerEffect.PollTarget -> at(now + effect.delayMillis + 1) { deliver(OwnerMessage.TargetProgress(progress(model.target))) }
            is OwnerEffect.PollGroup -> at(now + effect.delayMillis + 1) { deliver(OwnerMessage.GroupProgress(siblings())) }
            is OwnerEffect.FetchSamples -> at(now + 1) {
                deliver(OwnerMessage.SamplesFetched(persistentListOf<PositionSample>().addAll(samples(now))))
            }
            is OwnerEffect.SampleTarget -> at(now + 1) { deliver(OwnerMessage.Sampled(effect.askedMillis, progress(model.target))) }
        }
    }

    private fun open(slot: Int) {
        val (next, name) = if (faults.isRefusingSlots) model to null else model.connect()
        model = next
        deliver(if (name == null) OwnerMessage.OpenFailed(slot, isRefused = true, "no free slot") else OwnerMessage.Opened(slot, name))
    }

    private fun execute(effect: OwnerEffect.Execute) {
        val fate = random.nextDouble()
        val lost = ProxyError(if (effect.call.operation.isRead()) ErrorKind.ANSWER_LOST else ErrorKind.OUTCOME_UNKNOWN, "no answer")
        val isLost = isSilent(effect.name) || fate < faults.lostRequest + faults.lostAnswer
        if (fate >= faults.lostRequest && !isSilent(effect.name)) at(now + random.nextLong(1, 4)) { run(effect, isLost) }
        if (isLost) at(now + effect.timeoutMillis) { deliver(OwnerMessage.Executed(effect.slot, effect.ticket, Err(lost))) }
    }

    private fun run(effect: OwnerEffect.Execute, isLost: Boolean) {
        val (next, result) = model.execute(effect.name, effect.call)
        model = next
        if (!isLost) at(now + 1) { deliver(OwnerMessage.Executed(effect.slot, effect.ticket, result)) }
    }

    private fun ping(effect: OwnerEffect.Ping) {
        if (isSilent(effect.name)) return at(now + effect.timeoutMillis) { deliver(OwnerMessage.Pinged(effect.slot, isAnswered = false)) }
        at(now + 1) { deliver(OwnerMessage.Pinged(effect.slot, isAnswered = true)) }
    }

    private fun isSilent(connection: String): Boolean = connection == "c1" && now >= faults.silentFromMillis

    private fun close(effect: OwnerEffect.Close) {
        model = model.disconnect(effect.name)
        deliver(OwnerMessage.Closed(effect.slot))
    }

    private fun reply(effect: OwnerEffect.Reply) {
        check(effect.ticket !in replies) { "ticket ${effect.ticket} is answered twice" }
        replies = replies + (effect.ticket to effect.result)
        repliedMillis = repliedMillis + (effect.ticket to now)
    }

    private fun siblings() = if (faults.isSecondInstanceSilent) {
        persistentListOf()
    } else {
        persistentListOf(
            progress(TargetId("r")).copy(term = Term(faults.replicaTerm)),
        )
    }

    private fun progress(target: TargetId): InstanceProgress {
        val applied = if (now < faults.appliedDelayMillis) LogPosition.START else model.position.index
        return InstanceProgress(target, role, model.term, model.position.index, applied)
    }

    private companion object {
        const val TICK_MILLIS = 20L
        const val CONNECT_MILLIS = 10L
    }
}
