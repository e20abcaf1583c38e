package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/** Decides which holders to ask for how many tokens: the own zone first, then all others at once. */
internal class AskPlanner {
    /** Puts [purse] into [state], and starts asks if it needs tokens and none are on their way. */
    fun plan(
        state: TokenClientState,
        organisation: OrganisationId,
        purse: Purse,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val isQuiet = purse.asks.isNotEmpty() || nowMillis < purse.nextRoundMillis || state.zones.isEmpty()
        if (isQuiet) return Decision(state.withPurse(organisation, purse))
        val wanted = TokenAmount.ONE * (purse.waiting.size + purse.expected()) - purse.spendable(nowMillis)
        val isLow = purse.spendable(nowMillis) < TokenAmount.ONE * (purse.expected() / 2)
        if (purse.waiting.isEmpty()) {
            return if (isLow) {
                ask(state, organisation, purse, state.zones.take(1), wanted, nowMillis)
            } else {
                Decision(state.withPurse(organisation, purse))
            }
        }
        val zones = if (purse.areOthersAsked) state.zones.drop(1) else state.zones.take(1)
        return ask(state, organisation, purse, zones, wanted, nowMillis)
    }

    /** What follows when the last ask of a round was answered. */
    fun afterRound(
        state: TokenClientState,
        organisation: OrganisationId,
        purse: Purse,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val isRoundOver = purse.areOthersAsked || state.zones.size <= 1 || purse.waiting.isEmpty()
        val next =
            when {
                !isRoundOver -> purse.copy(areOthersAsked = true)
                purse.hasGained -> purse.copy(areOthersAsked = false, hasGained = false)
                else -> purse.copy(areOthersAsked = false, nextRoundMillis = nowMillis + pauseMillis(purse, nowMillis))
            }
        return plan(state, organisation, next, nowMillis)
    }

    // All holders were empty: nothing can come before the fleet has minted what is missing.
    private fun pauseMillis(purse: Purse, nowMillis: Long): Long =
        purse.limit.millisToMint(TokenAmount.ONE - purse.spendable(nowMillis)).coerceIn(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS)

    private fun ask(
        state: TokenClientState,
        organisation: OrganisationId,
        purse: Purse,
        zones: List<ZoneId>,
        amount: TokenAmount,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val start = state.withPurse(organisation, purse) to persistentListOf<TokenClientEffect>()
        val (next, sends) = zones.fold(start) { (rest, sends), zone -> askZone(rest, sends, organisation, zone, amount, nowMillis) }
        return Decision(next, sends)
    }

    private fun askZone(
        state: TokenClientState,
        sends: PersistentList<TokenClientEffect>,
        organisation: OrganisationId,
        zone: ZoneId,
        amount: TokenAmount,
        nowMillis: Long,
    ): Pair<TokenClientState, PersistentList<TokenClientEffect>> {
        val purse = state.purses.getValue(organisation)
        val ask = TokenAsk(state.nextAsk, organisation, amount)
        val request = TokenRequest(state.settlements[zone].orEmpty(), listOf(ask))
        val next =
            state
                .copy(nextAsk = state.nextAsk + 1, settlements = state.settlements.remove(zone))
                .withPurse(organisation, purse.copy(asks = purse.asks.put(ask.askId, PendingAsk(zone, nowMillis))))
        return next to sends.add(TokenClientEffect.Send(zone, request))
    }

    private companion object {
        const val MIN_PAUSE_MILLIS = 2L
        const val MAX_PAUSE_MILLIS = 50L
    }
}
