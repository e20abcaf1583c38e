package org.buckthornhub.quota

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.organisation.OrganisationId

/** Limits each organisation to this daemon's share of its limit, and requests tokens from the leader's reserve beyond that. */
public class RateLimiterDecider(private val reserveUse: ReserveUse = FixedReserveUse) :
    Decider<RateLimiterState, RateLimiterMessage, RateLimiterEffect> {
    override fun decide(
        state: RateLimiterState,
        message: RateLimiterMessage,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> = when (message) {
        is RateLimiterMessage.Admit -> admit(state, message, nowMillis)
        is RateLimiterMessage.ReserveReceived ->
            onReserveReceived(state.withoutExpired(message.organisation, nowMillis), message, nowMillis)
        is RateLimiterMessage.Refunded -> onRefund(state.withoutExpired(message.organisation, nowMillis), message, nowMillis)
        is RateLimiterMessage.Tick -> {
            val measured = withDemandMeasured(state)
            val known = measured.limiters.keys.fold(measured) { next, organisation -> next.withoutExpired(organisation, nowMillis) }
            known.limiters.keys.fold(Decision(known)) { decision, organisation -> withTokensReturned(decision, organisation, nowMillis) }
        }
    }

    private fun onRefund(
        state: RateLimiterState,
        message: RateLimiterMessage.Refunded,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> =
        withTokensReturned(Decision(withRefund(state, message.organisation, nowMillis)), message.organisation, nowMillis)

    private fun admit(
        state: RateLimiterState,
        message: RateLimiterMessage.Admit,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        val known = state.limiters[message.organisation] ?: OrganisationLimiter(message.rate.refill(null, nowMillis), message.rate)
        val limiter = known.copy(
            bucket = message.rate.refill(known.bucket, nowMillis),
            rate = message.rate,
            fallbackTokens = message.fallbackTokens,
            requested = known.requested + 1,
        )
        val spent = if (limiter.waiting.isEmpty()) limiter.withTokenSpent(nowMillis) else null
        return when {
            spent != null -> Decision(state.with(message.organisation, spent), persistentListOf(RateLimiterEffect.Admitted(message.ticket)))
            nowMillis < limiter.nextReserveRequestMillis || limiter.waiting.size >= MAX_WAITING ->
                admitWithoutReserve(state, message.organisation, limiter, listOf(message.ticket), nowMillis)
            else -> requestReserve(state, message.organisation, limiter.copy(waiting = limiter.waiting.add(message.ticket)), nowMillis)
        }
    }

    private fun requestReserve(
        state: RateLimiterState,
        organisation: OrganisationId,
        limiter: OrganisationLimiter,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        if (limiter.isReserveRequested) return Decision(state.with(organisation, limiter))
        val tokens = limiter.waiting.size + reserveUse.prefetch(limiter, nowMillis)
        return Decision(
            state.with(organisation, limiter.copy(isReserveRequested = true)),
            persistentListOf(RateLimiterEffect.RequestReserve(organisation, tokens)),
        )
    }

    private fun onReserveReceived(
        state: RateLimiterState,
        message: RateLimiterMessage.ReserveReceived,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        val limiter = state.limiters[message.organisation] ?: return Decision(state)
        val tokens = message.tokens
        if (tokens == null) return onReserveUnreachable(state, message.organisation, limiter, nowMillis)
        val filled = limiter.copy(
            bucket = limiter.rate.refill(limiter.bucket, nowMillis),
            isReserveReached = true,
            lowMillis = if (message.isLow || tokens < message.wanted) nowMillis else limiter.lowMillis,
            reserveTokens = limiter.reserveTokens + tokens,
            reserveTokensExpireMillis = nowMillis + RESERVE_TOKENS_TTL_MILLIS,
            isReserveRequested = false,
        )
        val (served, admitted) = serve(filled, nowMillis)
        if (tokens >= message.wanted && served.waiting.isNotEmpty()) {
            val next = requestReserve(state, message.organisation, served, nowMillis)
            return next.copy(effects = admitted.toPersistentList().addAll(next.effects))
        }
        val isShort = tokens < message.wanted
        val next = served.copy(
            waiting = persistentListOf(),
            nextReserveRequestMillis = if (isShort) {
                reserveUse.nextRequestMillis(message.retryAfterMillis, nowMillis)
            } else {
                served.nextReserveRequestMillis
            },
            shortMillis = if (isShort) nowMillis else served.shortMillis,
            nextTokenMillis = nowMillis + message.retryAfterMillis,
            tokenSpacingMillis = message.spacingMillis,
        )
        val decision = admitWithoutReserve(state, message.organisation, next, served.waiting, nowMillis)
        return decision.copy(effects = admitted.toPersistentList().addAll(decision.effects))
    }

    private fun onReserveUnreachable(
        state: RateLimiterState,
        organisation: OrganisationId,
        limiter: OrganisationLimiter,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        val next = limiter.copy(
            bucket = limiter.rate.refill(limiter.bucket, nowMillis),
            waiting = persistentListOf(),
            isReserveRequested = false,
            isReserveReached = false,
            isInFlood = reserveUse.isInFlood(limiter, nowMillis),
            unreachableMillis = nowMillis,
            nextReserveRequestMillis = nowMillis + FixedReserveUse.RESERVE_BACKOFF_MILLIS,
            nextTokenMillis = nowMillis + UNREACHABLE_RETRY_MILLIS,
            tokenSpacingMillis = 0,
        )
        return admitWithoutReserve(state, organisation, next, limiter.waiting, nowMillis)
    }

    // Admits what the daemon may admit by itself, and refuses the rest, each with the time of another future token.
    private fun admitWithoutReserve(
        state: RateLimiterState,
        organisation: OrganisationId,
        limiter: OrganisationLimiter,
        tickets: List<Long>,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        val start = Decision<RateLimiterState, RateLimiterEffect>(state.with(organisation, limiter))
        return tickets.fold(start) { decision, ticket ->
            val known = decision.state.limiters[organisation] ?: limiter
            val spent = known.withTokenSpent(nowMillis) ?: reserveUse.withFallbackSpent(known, nowMillis)
            val next = spent ?: known.copy(nextTokenMillis = maxOf(known.nextTokenMillis, nowMillis) + known.tokenSpacingMillis)
            val effect = if (spent != null) RateLimiterEffect.Admitted(ticket) else refusal(ticket, organisation, known, nowMillis)
            Decision(decision.state.with(organisation, next), decision.effects.add(effect))
        }
    }

    private tailrec fun serve(
        limiter: OrganisationLimiter,
        nowMillis: Long,
        admitted: List<RateLimiterEffect> = emptyList(),
    ): Pair<OrganisationLimiter, List<RateLimiterEffect>> {
        val first = limiter.waiting.firstOrNull() ?: return limiter to admitted
        val spent = limiter.withTokenSpent(nowMillis) ?: return limiter to admitted
        return serve(spent.copy(waiting = limiter.waiting.removeAt(0)), nowMillis, admitted + RateLimiterEffect.Admitted(first))
    }

    private fun withRefund(state: RateLimiterState, organisation: OrganisationId, nowMillis: Long): RateLimiterState {
        val limiter = state.limiters[organisation] ?: return state
        // A share of less than one operation can't hold the token, so it goes back to those of the reserve.
        if (limiter.rate.burst < 1) {
            val refunded =
                limiter.copy(reserveTokens = limiter.reserveTokens + 1, reserveTokensExpireMillis = nowMillis + RESERVE_TOKENS_TTL_MILLIS)
            return state.with(organisation, refunded)
        }
        val bucket = limiter.bucket.copy(tokens = limiter.bucket.tokens + 1)
        return state.with(organisation, limiter.copy(bucket = limiter.rate.refill(bucket, nowMillis)))
    }

    private fun withDemandMeasured(state: RateLimiterState): RateLimiterState =
        state.limiters.entries.fold(state) { limiters, (organisation, limiter) ->
            val latest = limiter.requested * TICKS_PER_SECOND
            val weight = if (latest > limiter.perSecond) RISING_WEIGHT else FALLING_WEIGHT
            val smoothed = limiter.perSecond * (1 - weight) + latest * weight
            limiters.with(organisation, limiter.copy(requested = 0, perSecond = if (smoothed < MIN_DEMAND_PER_SECOND) 0.0 else smoothed))
        }

    private fun withTokensReturned(
        decision: Decision<RateLimiterState, RateLimiterEffect>,
        organisation: OrganisationId,
        nowMillis: Long,
    ): Decision<RateLimiterState, RateLimiterEffect> {
        val limiter = decision.state.limiters[organisation] ?: return decision
        val returned = reserveUse.returned(limiter, nowMillis)
        if (returned == 0) return decision
        val next = limiter.copy(reserveTokens = limiter.reserveTokens - returned)
        return Decision(
            decision.state.with(organisation, next),
            decision.effects.add(RateLimiterEffect.ReturnTokens(organisation, returned)),
        )
    }

    private fun RateLimiterState.withoutExpired(organisation: OrganisationId, nowMillis: Long): RateLimiterState {
        val limiter = limiters[organisation] ?: return this
        if (limiter.reserveTokens == 0 || nowMillis < limiter.reserveTokensExpireMillis) return this
        return with(organisation, limiter.copy(reserveTokens = 0)).copy(expiredTokens = expiredTokens + limiter.reserveTokens)
    }

    private fun refusal(ticket: Long, organisation: OrganisationId, limiter: OrganisationLimiter, nowMillis: Long): RateLimiterEffect {
        val ownMillis = limiter.rate.retryAfterMillis(limiter.bucket)
        val reserveMillis = (limiter.nextTokenMillis - nowMillis).takeIf { it > 0 } ?: reserveUse.unannouncedMillis(limiter)
        return RateLimiterEffect.Refused(
            ticket,
            organisation,
            minOf(ownMillis, reserveMillis).coerceAtMost(BucketRate.MAX_RETRY_AFTER_MILLIS),
        )
    }

    private fun RateLimiterState.with(organisation: OrganisationId, limiter: OrganisationLimiter) =
        copy(limiters = limiters.put(organisation, limiter))

    public companion object {
        /** Interval of [RateLimiterMessage.Tick] in ms. */
        public const val TICK_MILLIS: Long = 250
        private const val TICKS_PER_SECOND = 4.0

        /** Smoothing weight of a tick with rising demand: the estimate mostly follows within half a second. */
        private const val RISING_WEIGHT = 0.5

        /** Smoothing weight of a tick with falling demand: callers arrive unevenly, so a gap of some seconds changes little. */
        private const val FALLING_WEIGHT = 0.05

        /** Demand below this counts as zero; in operations per second. */
        private const val MIN_DEMAND_PER_SECOND = 0.01

        /** Lifetime of tokens from the reserve; if kept longer, they would add to the burst of the whole fleet. In ms. */
        private const val RESERVE_TOKENS_TTL_MILLIS = 500L

        /** Maximum number of operations waiting for one reply of the reserve; further ones are refused at once. */
        private const val MAX_WAITING = 64

        /** About the duration of an election of the control quorum; in ms. */
        private const val UNREACHABLE_RETRY_MILLIS = 1_000L
    }
}
