package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Admits the requests of one daemon from tokens that it holds, and asks the holders for more when it runs out.
 *
 * A request waits a bounded time for the asks, so that a burst is not refused because it came in at one VM.
 */
public class TokenClientDecider(private val timing: LimitTiming) : Decider<TokenClientState, TokenClientMessage, TokenClientEffect> {
    private val planner = AskPlanner()
    private val returns = BatchReturns(timing)

    override fun decide(
        state: TokenClientState,
        message: TokenClientMessage,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> = when (message) {
        is TokenClientMessage.Admit -> admit(state, message, nowMillis)
        is TokenClientMessage.Answered -> answered(state, message, nowMillis)
        is TokenClientMessage.Zones -> Decision(state.copy(zones = message.zones.toPersistentList()))
        is TokenClientMessage.Tick -> tick(state, nowMillis)
        is TokenClientMessage.Leave -> returns.flush(returns.returnAll(state, nowMillis), nowMillis)
    }

    private fun admit(
        state: TokenClientState,
        message: TokenClientMessage.Admit,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val held = state.purses[message.organisation] ?: Purse(message.limit, nowMillis, windowMillis = nowMillis)
        val purse = held.copy(limit = message.limit, usedMillis = nowMillis)
        val spent = if (purse.waiting.isEmpty()) purse.spendOne(nowMillis) else null
        if (spent != null) {
            val planned = planner.plan(state, message.organisation, spent, nowMillis)
            return Decision(planned.state, planned.effects.add(0, TokenClientEffect.Admitted(message.ticket, waitedMillis = 0)))
        }
        val untilMillis = minOf(message.deadlineMillis, nowMillis + timing.maxWaitMillis)
        if (untilMillis <= maxOf(nowMillis, purse.nextRoundMillis) || purse.waiting.size >= mostWaiting(purse.limit)) {
            return Decision(state.withPurse(message.organisation, purse), persistentListOf(refusal(message.ticket, purse)))
        }
        val waiting = purse.waiting.add(WaitingAdmission(message.ticket, nowMillis, untilMillis))
        return planner.plan(state, message.organisation, purse.copy(waiting = waiting), nowMillis)
    }

    // More tokens than these can't come within the longest wait.
    private fun mostWaiting(limit: RateLimit): Long =
        (limit.burst.micro + limit.microPerSecond * timing.maxWaitMillis / MILLIS_PER_SECOND) / TokenAmount.ONE.micro + 1

    private fun answered(
        state: TokenClientState,
        message: TokenClientMessage.Answered,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val grants = message.reply.grants.associateBy { it.askId }
        val start = Decision<TokenClientState, TokenClientEffect>(state)
        return message.asked.fold(start) { before, ask ->
            val purse = before.state.purses[ask.organisation]
            val pending = purse?.asks?.get(ask.askId)
            if (pending == null) before else taken(before, ask, purse, pending, grants[ask.askId], nowMillis)
        }
    }

    private fun taken(
        before: Decision<TokenClientState, TokenClientEffect>,
        ask: TokenAsk,
        purse: Purse,
        pending: PendingAsk,
        grant: TokenGrant?,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val filled = purse.copy(asks = purse.asks.remove(ask.askId)).let { if (grant == null) it else filled(it, pending, grant) }
        val (served, answers) = serve(filled, nowMillis)
        val next =
            when {
                served.asks.isEmpty() -> planner.afterRound(before.state, ask.organisation, served, nowMillis)
                else -> Decision(before.state.withPurse(ask.organisation, served))
            }
        return Decision(next.state, before.effects.addAll(answers).addAll(next.effects))
    }

    private fun filled(purse: Purse, pending: PendingAsk, grant: TokenGrant): Purse {
        val validUntilMillis = pending.sentMillis + timing.lessDrift(grant.validForMillis)
        return purse.copy(
            missing = purse.missing - grant.amount,
            batches = purse.batches.add(TokenBatch(grant.batch, pending.zone, grant.amount, validUntilMillis)),
        )
    }

    private tailrec fun serve(
        purse: Purse,
        nowMillis: Long,
        answers: PersistentList<TokenClientEffect> = persistentListOf(),
    ): Pair<Purse, PersistentList<TokenClientEffect>> {
        val first = purse.waiting.firstOrNull() ?: return purse to answers
        if (first.untilMillis < nowMillis) return serve(purse.withoutFirst(), nowMillis, answers.add(refusal(first.ticket, purse)))
        val spent = purse.spendOne(nowMillis) ?: return purse to answers
        return serve(spent.withoutFirst(), nowMillis, answers.add(TokenClientEffect.Admitted(first.ticket, nowMillis - first.sinceMillis)))
    }

    private fun Purse.withoutFirst() = copy(waiting = waiting.removeAt(0))

    private fun tick(state: TokenClientState, nowMillis: Long): Decision<TokenClientState, TokenClientEffect> {
        val start = Decision<TokenClientState, TokenClientEffect>(state)
        val planned =
            state.purses.keys.fold(start) { before, organisation ->
                val (served, answers) = serve(before.state.purses.getValue(organisation).withoutLateAsks(nowMillis), nowMillis)
                val next = planner.plan(before.state, organisation, served, nowMillis)
                Decision(next.state, before.effects.addAll(answers).addAll(next.effects))
            }
        val returned = returns.returnOld(planned.state, nowMillis)
        if (nowMillis < returned.settledMillis + SETTLE_MILLIS) return Decision(returned, planned.effects)
        val flushed = returns.flush(returned, nowMillis)
        return Decision(flushed.state, planned.effects.addAll(flushed.effects))
    }

    private fun Purse.withoutLateAsks(nowMillis: Long): Purse {
        val late = asks.filterValues { it.sentMillis + ASK_TIMEOUT_MILLIS <= nowMillis }.keys
        return copy(asks = late.fold(asks) { rest, id -> rest.remove(id) })
    }

    private fun refusal(ticket: Long, purse: Purse): TokenClientEffect =
        TokenClientEffect.Refused(ticket, retryAfterMillis = purse.limit.millisToMint(TokenAmount.ONE).coerceAtLeast(1))

    /** Times that no setting changes. */
    public companion object {
        /** Time between two ticks while a purse is in use. */
        public const val TICK_MILLIS: Long = 5
        private const val MILLIS_PER_SECOND = 1_000L
        private const val ASK_TIMEOUT_MILLIS = 200L
        private const val SETTLE_MILLIS = 20L
    }
}
