package org.buckthornhub.target

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.error.ProxyError
import org.buckthornhub.group.Position
import org.buckthornhub.queue.QueuePolicy
import org.buckthornhub.statement.Answer
import org.buckthornhub.target.owner.OwnerDecider
import org.buckthornhub.target.owner.OwnerEffect
import org.buckthornhub.target.owner.OwnerInput
import org.buckthornhub.target.owner.OwnerLimits
import org.buckthornhub.target.owner.OwnerMessage
import org.buckthornhub.target.owner.OwnerState
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Owns the connections to one target and carries out the decisions of [OwnerDecider]. */
internal class TargetTask(
    target: TargetEntry,
    private val driver: TargetDriver,
    private val environment: OwnerEnvironment,
    limits: OwnerLimits,
) : Task<TargetMessage>("target-${target.target}") {
    private val decider = OwnerDecider(limits)
    private val siblings = SiblingTask(target, environment) { offer(TargetMessage.Event(it)) }
    private var state = OwnerState.of(target, limits, QueuePolicy.FAIR)
    private var replies: PersistentMap<Long, CompletableDeferred<Result<Answer, ProxyError>>> = persistentMapOf()
    private var nextTicket = 1L
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        siblings.start(scope)
        scope.startTicker(this, TICK_MILLIS, TargetMessage.Event(OwnerMessage.Tick))
    }

    override suspend fun handle(message: TargetMessage) {
        when (message) {
            is TargetMessage.Run -> submit(message)
            is TargetMessage.Samples -> replyWithSamples(message)
            is TargetMessage.Event -> decide(message.message)
        }
    }

    override fun onEnd() {
        driver.close()
        siblings.end()
    }

    private fun submit(message: TargetMessage.Run) {
        val ticket = nextTicket
        nextTicket += 1
        replies = replies.put(ticket, message.reply)
        decide(OwnerMessage.Submit(ticket, message.call, environment.newTransaction(message.call.target)))
    }

    private fun replyWithSamples(message: TargetMessage.Samples) {
        decide(OwnerMessage.SamplesRequested)
        val newer = state.samples.filter { isAfter(it.position, message.after) }
        message.reply.complete(SampleAges(newer.map { SampleAge.of(it, environment.clock) }))
    }

    // Includes the position [after] itself, because it may have been confirmed again more recently.
    private fun isAfter(position: Position, after: Position?): Boolean =
        after == null || position.term > after.term || position.term == after.term && position.index >= after.index

    private fun decide(message: OwnerMessage) {
        val now = environment.clock.nowMillis()
        val authority = environment.authority
        val input =
            OwnerInput(
                message = message,
                leaseTerm = authority.termOf(state.entry, now),
                leadership = environment.leadershipOf(state.entry.group),
                newWriteTerm = authority.termForNewWrite(state.entry, now),
            )
        val decision = decider.decide(state, input, now)
        state = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: OwnerEffect) {
        when (effect) {
            is OwnerEffect.Open -> scope.launch { open(effect) }
            is OwnerEffect.Execute -> scope.launch { execute(effect) }
            is OwnerEffect.Ping -> scope.launch { ping(effect) }
            is OwnerEffect.Close -> scope.launch { close(effect) }
            is OwnerEffect.Reply -> reply(effect)
            is OwnerEffect.PollTarget -> scope.launch { pollTarget(effect.delayMillis) }
            is OwnerEffect.FetchSamples -> scope.launch { fetchSamples(effect.after) }
            is OwnerEffect.SampleTarget -> scope.launch { sampleTarget(effect.askedMillis) }
            is OwnerEffect.PollGroup -> siblings.offer(SiblingMessage.Poll(effect.delayMillis))
        }
    }

    private suspend fun open(effect: OwnerEffect.Open) {
        val message =
            driver.connect(CONNECT_TIMEOUT_MILLIS).mapBoth(
                success = { OwnerMessage.Opened(effect.slot, it) },
                failure = { OwnerMessage.OpenFailed(effect.slot, it.isRefused, it.detail) },
            )
        report(message)
    }

    private suspend fun execute(effect: OwnerEffect.Execute) {
        val result = driver.execute(effect.name, effect.call, effect.timeoutMillis)
        report(OwnerMessage.Executed(effect.slot, effect.ticket, result))
    }

    private suspend fun ping(effect: OwnerEffect.Ping) {
        report(OwnerMessage.Pinged(effect.slot, driver.ping(effect.name, effect.timeoutMillis)))
    }

    private suspend fun close(effect: OwnerEffect.Close) {
        driver.disconnect(effect.name)
        report(OwnerMessage.Closed(effect.slot))
    }

    private suspend fun pollTarget(delayMillis: Long) {
        delay(delayMillis)
        report(OwnerMessage.TargetProgress(driver.progress(PROGRESS_TIMEOUT_MILLIS)))
    }

    private suspend fun fetchSamples(after: Position?) {
        report(OwnerMessage.SamplesFetched(environment.samples.samplesOf(state.entry.group, after)))
    }

    private suspend fun sampleTarget(askedMillis: Long) {
        report(OwnerMessage.Sampled(askedMillis, driver.progress(PROGRESS_TIMEOUT_MILLIS)))
    }

    private fun reply(effect: OwnerEffect.Reply) {
        replies[effect.ticket]?.complete(effect.result)
        replies = replies.remove(effect.ticket)
    }

    private suspend fun report(message: OwnerMessage): Unit = report(TargetMessage.Event(message))

    private companion object {
        const val TICK_MILLIS = 20L
        const val CONNECT_TIMEOUT_MILLIS = 1_500L
        const val PROGRESS_TIMEOUT_MILLIS = 500L
    }
}
