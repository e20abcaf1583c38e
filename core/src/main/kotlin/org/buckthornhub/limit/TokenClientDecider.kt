package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Admits the requests of one daemon from its local tokens, and requests more from the share holders when they run out.
 *
 * A request waits a bounded time for tokens, so that a burst is not refused just because it arrives at a single VM.
 */
public class TokenClientDecider(private val timing: LimitTiming) : Decider<TokenClientState, TokenClientMessage, TokenClientEffect> {
    private val planner = TokenRequestPlanner()
    private val returns = BatchReturns(timing)

    override fun decide(
        state: TokenClientState,
        message: TokenClientMessage,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> = when (message) {
        is TokenClientMessage.Admit -> admit(state, message, nowMillis)
        is TokenClientMessage.ReplyReceived -> onReply(state, message, nowMillis)
        is TokenClientMessage.ZonesChanged -> Decision(state.copy(zones = message.zones.toPersistentList()))
        is TokenClientMessage.Tick -> tick(state, nowMillis)
        is TokenClientMessage.Leave -> returns.flush(returns.returnAll(state, nowMillis), nowMillis)
    }

    private fun admit(
        state: TokenClientState,
        message: TokenClientMessage.Admit,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val held = state.localTokens[message.organisation] ?: LocalTokens(message.limit, nowMillis, windowMillis = nowMillis)
        val local = held.copy(limit = message.limit, lastUsedMillis = nowMillis)
        val spent = if (local.waiting.isEmpty()) local.spendOne(nowMillis) else null
        if (spent != null) {
            val planned = planner.plan(state, message.organisation, spent, nowMillis)
            return Decision(planned.state, planned.effects.add(0, TokenClientEffect.Admitted(message.ticket, waitedMillis = 0)))
        }
        val untilMillis = minOf(message.deadlineMillis, nowMillis + timing.maxWaitMillis)
        if (untilMillis <= maxOf(nowMillis, local.nextRoundMillis) || local.waiting.size >= maxWaiting(local.limit)) {
            return Decision(state.withLocalTokens(message.organisation, local), persistentListOf(refusal(message.ticket, local)))
        }
        val waiting = local.waiting.add(WaitingAdmission(message.ticket, nowMillis, untilMillis))
        return planner.plan(state, message.organisation, local.copy(waiting = waiting), nowMillis)
    }

    // Upper bound on the tokens that can arrive within the maximum wait.
    private fun maxWaiting(limit: RateLimit): Long =
        (limit.burst.micro + limit.microPerSecond * timing.maxWaitMillis / MILLIS_PER_SECOND) / TokenAmount.ONE.micro + 1

    private fun onReply(
        state: TokenClientState,
        message: TokenClientMessage.ReplyReceived,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val grants = message.reply.grants.associateBy { it.requestId }
        val start = Decision<TokenClientState, TokenClientEffect>(state)
        return message.requested.fold(start) { before, request ->
            val local = before.state.localTokens[request.organisation]
            val pending = local?.batchRequests?.get(request.requestId)
            if (pending == null) before else withGrant(before, request, local, pending, grants[request.requestId], nowMillis)
        }
    }

    private fun withGrant(
        before: Decision<TokenClientState, TokenClientEffect>,
        request: BatchRequest,
        local: LocalTokens,
        pending: PendingBatchRequest,
        grant: TokenGrant?,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val received =
            local
                .copy(batchRequests = local.batchRequests.remove(request.requestId))
                .let { if (grant == null) it else withBatch(it, pending, grant) }
        val (remaining, answers) = admitWaiting(received, nowMillis)
        val next =
            when {
                remaining.batchRequests.isEmpty() -> planner.afterRound(before.state, request.organisation, remaining, nowMillis)
                else -> Decision(before.state.withLocalTokens(request.organisation, remaining))
            }
        return Decision(next.state, before.effects.addAll(answers).addAll(next.effects))
    }

    private fun withBatch(local: LocalTokens, pending: PendingBatchRequest, grant: TokenGrant): LocalTokens {
        val validUntilMillis = pending.sentMillis + timing.minusDrift(grant.validForMillis)
        return local.copy(
            shortfall = local.shortfall - grant.amount,
            batches = local.batches.add(TokenBatch(grant.batch, pending.zone, grant.amount, validUntilMillis)),
        )
    }

    private tailrec fun admitWaiting(
        local: LocalTokens,
        nowMillis: Long,
        answers: PersistentList<TokenClientEffect> = persistentListOf(),
    ): Pair<LocalTokens, PersistentList<TokenClientEffect>> {
        val first = local.waiting.firstOrNull() ?: return local to answers
        if (first.untilMillis < nowMillis) return admitWaiting(local.withoutFirst(), nowMillis, answers.add(refusal(first.ticket, local)))
        val spent = local.spendOne(nowMillis) ?: return local to answers
        return admitWaiting(
            spent.withoutFirst(),
            nowMillis,
            answers.add(TokenClientEffect.Admitted(first.ticket, nowMillis - first.sinceMillis)),
        )
    }

    private fun LocalTokens.withoutFirst() = copy(waiting = waiting.removeAt(0))

    private fun tick(state: TokenClientState, nowMillis: Long): Decision<TokenClientState, TokenClientEffect> {
        val start = Decision<TokenClientState, TokenClientEffect>(state)
        val planned =
            state.localTokens.keys.fold(start) { before, organisation ->
                val (remaining, answers) = admitWaiting(
                    before.state.localTokens.getValue(organisation).withoutTimedOut(nowMillis),
                    nowMillis,
                )
                val next = planner.plan(before.state, organisation, remaining, nowMillis)
                Decision(next.state, before.effects.addAll(answers).addAll(next.effects))
            }
        val returned = returns.returnExpiring(planned.state, nowMillis)
        if (nowMillis < returned.settledMillis + SETTLE_MILLIS) return Decision(returned, planned.effects)
        val flushed = returns.flush(returned, nowMillis)
        return Decision(flushed.state, planned.effects.addAll(flushed.effects))
    }

    private fun LocalTokens.withoutTimedOut(nowMillis: Long): LocalTokens {
        val late = batchRequests.filterValues { it.sentMillis + REQUEST_TIMEOUT_MILLIS <= nowMillis }.keys
        return copy(batchRequests = late.fold(batchRequests) { rest, id -> rest.remove(id) })
    }

    private fun refusal(ticket: Long, local: LocalTokens): TokenClientEffect =
        TokenClientEffect.Refused(ticket, retryAfterMillis = local.limit.millisToRefill(TokenAmount.ONE).coerceAtLeast(1))

    /** Durations that are not configurable. */
    public companion object {
        /** Interval of [TokenClientMessage.Tick] while the daemon holds tokens or settlements, in ms. */
        public const val TICK_MILLIS: Long = 5
        private const val MILLIS_PER_SECOND = 1_000L
        private const val REQUEST_TIMEOUT_MILLIS = 200L
        private const val SETTLE_MILLIS = 20L
    }
}
