package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decision
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/** Plans the requests for token batches: one zone in each round first, then all other zones at once. */
internal class TokenRequestPlanner {
    /** Stores [local] in [state], and requests tokens if they are needed and no request is in flight. */
    fun plan(
        state: TokenClientState,
        organisation: OrganisationId,
        local: LocalTokens,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val isRequestUnneeded = local.batchRequests.isNotEmpty() || nowMillis < local.nextRoundMillis || state.zones.isEmpty()
        if (isRequestUnneeded) return Decision(state.withLocalTokens(organisation, local))
        val wanted = TokenAmount.ONE * (local.waiting.size + local.expectedAdmissions()) - local.available(nowMillis)
        val isLow = local.available(nowMillis) < TokenAmount.ONE * (local.expectedAdmissions() / 2)
        if (local.waiting.isEmpty()) {
            return if (isLow) {
                requestTokens(state, organisation, local, listOf(firstZone(state, local)), wanted, nowMillis)
            } else {
                Decision(state.withLocalTokens(organisation, local))
            }
        }
        val first = firstZone(state, local)
        val zones = if (local.isFallbackRound) state.zones - first else listOf(first)
        return requestTokens(state, organisation, local, zones, wanted, nowMillis)
    }

    // Round robin over the zones keeps their buckets at similar levels: a full bucket loses its refill while another one is empty.
    private fun firstZone(state: TokenClientState, local: LocalTokens): ZoneId = state.zones[local.completedRounds % state.zones.size]

    /** Ends a round of requests, after its last reply: starts the fallback round, backs off, or waits for the next admission. */
    fun afterRound(
        state: TokenClientState,
        organisation: OrganisationId,
        local: LocalTokens,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val nextRound = local.copy(isFallbackRound = false, shortfall = TokenAmount.ZERO, completedRounds = local.completedRounds + 1)
        // Without waiting admissions, the next admission triggers the next request for tokens.
        if (local.waiting.isEmpty()) return Decision(state.withLocalTokens(organisation, nextRound))
        val next =
            when {
                local.shortfall <= TokenAmount.ZERO -> nextRound
                local.isFallbackRound || state.zones.size <= 1 -> afterExhaustion(nextRound, nowMillis)
                else -> local.copy(isFallbackRound = true)
            }
        return plan(state, organisation, next, nowMillis)
    }

    // All buckets are empty: backs off until the fleet has refilled the missing part of a token.
    private fun afterExhaustion(local: LocalTokens, nowMillis: Long): LocalTokens {
        val missingMillis = local.limit.millisToRefill(TokenAmount.ONE - local.available(nowMillis))
        val pauseMillis = missingMillis.coerceIn(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS)
        return local.copy(nextRoundMillis = nowMillis + pauseMillis)
    }

    private fun requestTokens(
        state: TokenClientState,
        organisation: OrganisationId,
        local: LocalTokens,
        zones: List<ZoneId>,
        amount: TokenAmount,
        nowMillis: Long,
    ): Decision<TokenClientState, TokenClientEffect> {
        val start = state.withLocalTokens(organisation, local.copy(shortfall = amount)) to persistentListOf<TokenClientEffect>()
        val (next, sends) = zones.fold(start) { (rest, sends), zone -> requestFrom(rest, sends, organisation, zone, amount, nowMillis) }
        return Decision(next, sends)
    }

    private fun requestFrom(
        state: TokenClientState,
        sends: PersistentList<TokenClientEffect>,
        organisation: OrganisationId,
        zone: ZoneId,
        amount: TokenAmount,
        nowMillis: Long,
    ): Pair<TokenClientState, PersistentList<TokenClientEffect>> {
        val local = state.localTokens.getValue(organisation)
        val batchRequest = BatchRequest(state.nextRequestId, organisation, amount)
        val request = TokenRequest(state.settlements[zone].orEmpty(), listOf(batchRequest))
        val next =
            state
                .copy(nextRequestId = state.nextRequestId + 1, settlements = state.settlements.remove(zone))
                .withLocalTokens(
                    organisation,
                    local.copy(batchRequests = local.batchRequests.put(batchRequest.requestId, PendingBatchRequest(zone, nowMillis))),
                )
        return next to sends.add(TokenClientEffect.Send(zone, request))
    }

    private companion object {
        const val MIN_PAUSE_MILLIS = 2L
        const val MAX_PAUSE_MILLIS = 50L
    }
}
