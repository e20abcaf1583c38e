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
                ask(state, organisation, purse, listOf(firstZone(state, purse)), wanted, nowMillis)
            } else {
                Decision(state.withPurse(organisation, purse))
            }
        }
        val first = firstZone(state, purse)
        val zones = if (purse.areOthersAsked) state.zones - first else listOf(first)
        return ask(state, organisation, purse, zones, wanted, nowMillis)
    }

    // Drawing on the zones in turn keeps their buckets level, so that none is full, and mints nothing, while another is empty.
    private fun firstZone(state: TokenClientState, purse: Purse): ZoneId = state.zones[purse.rounds % state.zones.size]

    /** What follows when the last ask of a round was answered. */
    fun afterRound(
        state: TokenClientState,
        organisation: OrganisationId,
        purse: Purse,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val nextRound = purse.copy(areOthersAsked = false, missing = TokenAmount.ZERO, rounds = purse.rounds + 1)
        // A purse that nobody waits for is filled again when the next request comes.
        if (purse.waiting.isEmpty()) return Decision(state.withPurse(organisation, nextRound))
        val next =
            when {
                purse.missing <= TokenAmount.ZERO -> nextRound
                purse.areOthersAsked || state.zones.size <= 1 -> exhausted(nextRound, nowMillis)
                else -> purse.copy(areOthersAsked = true)
            }
        return plan(state, organisation, next, nowMillis)
    }

    // All holders gave what they had: nothing can come before the fleet has minted what is missing.
    private fun exhausted(purse: Purse, nowMillis: Long): Purse {
        val missingMillis = purse.limit.millisToMint(TokenAmount.ONE - purse.spendable(nowMillis))
        val pauseMillis = missingMillis.coerceIn(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS)
        return purse.copy(nextRoundMillis = nowMillis + pauseMillis)
    }

    private fun ask(
        state: TokenClientState,
        organisation: OrganisationId,
        purse: Purse,
        zones: List<ZoneId>,
        amount: TokenAmount,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val start = state.withPurse(organisation, purse.copy(missing = amount)) to persistentListOf<TokenClientEffect>()
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
