package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Holds each organisation to its limit, and measures what it asks for. */
internal class MeterTask(
    private val reserve: ReserveSource,
    private val clock: Clock,
) : Task<MeterCommand>("meter"),
    StateSource<DemandReport> {
    private val decider = RateLimiterDecider()
    private val book = MutableStateFlow(RateLimiterState())
    private var asking: PersistentMap<Long, CompletableDeferred<Long?>> = persistentMapOf()
    private var nextTicket = 0L
    private lateinit var scope: CoroutineScope

    /** What this daemon was lately asked for. */
    override fun current(): DemandReport = book.value.demand

    /** Null if the operation may run, else the ms after which to ask again. */
    suspend fun admit(organisation: OrganisationId, rate: BucketRate): Long? {
        val answer = CompletableDeferred<Long?>()
        return if (offer(MeterCommand.Admit(organisation, rate, answer))) answer.await() else OVERLOADED_MILLIS
    }

    /** Takes the token of an operation back that was let through and never reached a target. */
    fun giveBack(organisation: OrganisationId) {
        offer(MeterCommand.Decide(RateLimiterMessage.Refunded(organisation)))
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, RateLimiterDecider.TICK_MILLIS, MeterCommand.Decide(RateLimiterMessage.Tick))
    }

    override suspend fun handle(message: MeterCommand): Unit = when (message) {
        is MeterCommand.Decide -> decide(message.message)
        is MeterCommand.Admit -> {
            asking = asking.put(++nextTicket, message.answer)
            decide(RateLimiterMessage.Admit(nextTicket, message.organisation, message.rate))
        }
    }

    private fun decide(message: RateLimiterMessage) {
        val decision = decider.decide(book.value, message, clock.nowMillis())
        book.value = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: RateLimiterEffect): Unit = when (effect) {
        is RateLimiterEffect.Admitted -> answer(effect.ticket, null)
        is RateLimiterEffect.Refused -> answer(effect.ticket, effect.retryAfterMillis)
        is RateLimiterEffect.RequestReserve -> {
            scope.launch {
                val tokens = reserve.draw(effect.organisation, effect.tokens) ?: 0
                report(MeterCommand.Decide(RateLimiterMessage.ReserveReceived(effect.organisation, effect.tokens, tokens)))
            }
            Unit
        }
    }

    private fun answer(ticket: Long, retryAfterMillis: Long?) {
        asking[ticket]?.complete(retryAfterMillis)
        asking = asking.remove(ticket)
    }

    private companion object {
        const val OVERLOADED_MILLIS = 1_000L
    }
}
