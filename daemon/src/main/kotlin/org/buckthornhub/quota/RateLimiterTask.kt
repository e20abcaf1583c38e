package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Enforces the rate limit of each organisation and measures its demand. */
internal class RateLimiterTask(
    private val reserve: ReserveSource,
    private val clock: Clock,
    adaptsToLoad: Boolean = false,
    private val observer: LimitObserver = LimitObserver.NONE,
) : Task<RateLimiterCommand>("meter"),
    StateSource<DemandReport> {
    private val decider = RateLimiterDecider(if (adaptsToLoad) AdaptiveReserveUse else FixedReserveUse)
    private val published = MutableStateFlow(RateLimiterState())
    private var pending: PersistentMap<Long, CompletableDeferred<Long?>> = persistentMapOf()
    private var nextTicket = 0L
    private lateinit var scope: CoroutineScope

    /** Returns the recent demand at this daemon. */
    override fun current(): DemandReport = published.value.demand

    /** Returns null if the operation is admitted, else the time in ms after which to retry. */
    suspend fun admit(organisation: OrganisationId, rate: BucketRate, fallbackTokens: FallbackTokens = FallbackTokens()): Long? {
        val answer = CompletableDeferred<Long?>()
        if (!offer(RateLimiterCommand.Admit(organisation, rate, fallbackTokens, answer))) return OVERLOADED_MILLIS
        withTimeoutOrNull(LOST_REPLY_MILLIS) { answer.join() } ?: return OVERLOADED_MILLIS
        return answer.await()
    }

    /** Refunds the token of an operation that was admitted but never reached a target. */
    fun refund(organisation: OrganisationId) {
        offer(RateLimiterCommand.Decide(RateLimiterMessage.Refunded(organisation)))
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, RateLimiterDecider.TICK_MILLIS, RateLimiterCommand.Decide(RateLimiterMessage.Tick))
    }

    override suspend fun handle(message: RateLimiterCommand): Unit = when (message) {
        is RateLimiterCommand.Decide -> decide(message.message)
        is RateLimiterCommand.Admit -> {
            pending = pending.put(++nextTicket, message.answer)
            decide(RateLimiterMessage.Admit(nextTicket, message.organisation, message.rate, message.fallbackTokens))
        }
    }

    private fun decide(message: RateLimiterMessage) {
        val decision = decider.decide(published.value, message, clock.nowMillis())
        observer.expired(decision.state.expiredTokens - published.value.expiredTokens)
        published.value = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: RateLimiterEffect): Unit = when (effect) {
        is RateLimiterEffect.Admitted -> answer(effect.ticket, null)
        is RateLimiterEffect.Refused -> {
            observer.refused(effect.organisation, operations = 1, effect.retryAfterMillis)
            answer(effect.ticket, effect.retryAfterMillis)
        }
        is RateLimiterEffect.ReturnTokens -> {
            observer.returned(effect.tokens)
            scope.launch { reserve.giveBack(effect.organisation, effect.tokens) }
            Unit
        }
        is RateLimiterEffect.RequestReserve -> {
            scope.launch {
                // A VM that may not lead knows nothing about the limit, which is the same as no answer.
                val grant = reserve.withdraw(effect.organisation, effect.tokens)?.takeUnless { it.isUnavailable == true }
                val received = RateLimiterMessage.ReserveReceived(
                    effect.organisation,
                    effect.tokens,
                    grant?.tokens,
                    grant?.retryAfterMillis ?: 0,
                    grant?.spacingMillis ?: 0,
                    grant?.isLow ?: false,
                )
                observer.issued(grant?.tokens ?: 0)
                report(RateLimiterCommand.Decide(received))
            }
            Unit
        }
    }

    private fun answer(ticket: Long, retryAfterMillis: Long?) {
        pending[ticket]?.complete(retryAfterMillis)
        pending = pending.remove(ticket)
    }

    private companion object {
        const val OVERLOADED_MILLIS = 1_000L

        /** The reserve is asked for less than this, so a reply that is this late was lost to an unexpected error; in ms. */
        const val LOST_REPLY_MILLIS = 1_000L
    }
}
