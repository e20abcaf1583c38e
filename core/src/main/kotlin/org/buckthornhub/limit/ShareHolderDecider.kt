package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Refills a zone's shares and issues tokens from them in batches.
 *
 * A batch counts against the burst until it is settled or expires, and it expires with the lease at the latest. A new
 * holder starts after the lease, with what was refilled since, so its tokens never add to outstanding ones.
 */
public class ShareHolderDecider(private val timing: LimitTiming) : Decider<ShareHolderState, ShareHolderMessage, ShareHolderEffect> {
    override fun decide(
        state: ShareHolderState,
        message: ShareHolderMessage,
        nowMillis: Long,
    ): Decision<ShareHolderState, ShareHolderEffect> = when (message) {
        is ShareHolderMessage.LeaseGranted -> Decision(onLeaseGranted(state, message, nowMillis))
        is ShareHolderMessage.LimitsChanged -> Decision(onLimitsChanged(state, message, nowMillis))
        is ShareHolderMessage.TokensRequested -> onTokensRequested(state, message, nowMillis)
    }

    private fun onLeaseGranted(state: ShareHolderState, message: ShareHolderMessage.LeaseGranted, nowMillis: Long): ShareHolderState {
        val validUntilMillis = message.requestedMillis + timing.minusDrift(message.leaseMillis)
        val held = state.shares[message.organisation]
        if (validUntilMillis <= nowMillis || held != null && message.requestedMillis <= held.requestedMillis) return state
        val part = message.fleetLimit.part(message.partsPerMillion)
        val share =
            if (held == null || held.validUntilMillis <= nowMillis) {
                HeldShare(
                    message.fleetLimit,
                    message.partsPerMillion,
                    message.requestedMillis,
                    validUntilMillis,
                    bucketOf(part, message, nowMillis),
                )
            } else {
                val current = held.at(nowMillis)
                current.copy(
                    fleetLimit = message.fleetLimit,
                    partsPerMillion = message.partsPerMillion,
                    requestedMillis = message.requestedMillis,
                    validUntilMillis = validUntilMillis,
                    bucket = current.bucket.withLimitAt(part, nowMillis),
                )
            }
        return state.copy(shares = state.shares.put(message.organisation, share))
    }

    // An unleased share keeps refilling, like a bucket without consumers.
    private fun bucketOf(part: RateLimit, message: ShareHolderMessage.LeaseGranted, nowMillis: Long): TokenBucket {
        val unleasedMillis = timing.minusDrift(message.unleasedMillis).coerceAtLeast(0)
        return TokenBucket(part, nowMillis - unleasedMillis).refilledAt(nowMillis)
    }

    private fun onLimitsChanged(state: ShareHolderState, message: ShareHolderMessage.LimitsChanged, nowMillis: Long): ShareHolderState {
        val kept =
            state.shares
                .mapNotNull { (organisation, held) ->
                    message.limits[organisation]?.let { organisation to withLimit(held.at(nowMillis), it, nowMillis) }
                }.toMap()
        return state.copy(shares = kept.toPersistentMap())
    }

    private fun withLimit(held: HeldShare, fleetLimit: RateLimit, nowMillis: Long): HeldShare =
        held.copy(fleetLimit = fleetLimit, bucket = held.bucket.withLimitAt(fleetLimit.part(held.partsPerMillion), nowMillis))

    private fun onTokensRequested(
        state: ShareHolderState,
        message: ShareHolderMessage.TokensRequested,
        nowMillis: Long,
    ): Decision<ShareHolderState, ShareHolderEffect> {
        val settled = message.request.settlements.fold(state) { rest, settlement -> settle(rest, settlement, nowMillis) }
        val start = settled to persistentListOf<TokenGrant>()
        val (next, grants) = message.request.batchRequests.fold(start) { (rest, grants), request ->
            issue(rest, grants, request, nowMillis)
        }
        return Decision(next, persistentListOf(ShareHolderEffect.Reply(message.replyId, TokenReply(grants))))
    }

    private fun settle(state: ShareHolderState, settlement: BatchSettlement, nowMillis: Long): ShareHolderState {
        val held = state.shares[settlement.organisation] ?: return state
        return state.copy(shares = state.shares.put(settlement.organisation, held.at(nowMillis).settled(settlement)))
    }

    private fun issue(
        state: ShareHolderState,
        grants: PersistentList<TokenGrant>,
        request: BatchRequest,
        nowMillis: Long,
    ): Pair<ShareHolderState, PersistentList<TokenGrant>> {
        val held = state.shares[request.organisation]?.at(nowMillis) ?: return state to grants
        val validForMillis = minOf(timing.batchMillis, held.validUntilMillis - nowMillis)
        val amount = minOf(request.amount, held.bucket.tokens)
        if (validForMillis <= 0 || amount < minBatch(held, request)) return state to grants
        val id = BatchId(state.epoch, state.nextSequence)
        val share = held.issue(id, IssuedBatch(amount, nowMillis + validForMillis))
        val next = state.copy(nextSequence = state.nextSequence + 1, shares = state.shares.put(request.organisation, share))
        return next to grants.add(TokenGrant(request.requestId, id, amount, validForMillis))
    }

    // Each batch costs a message, so very small ones are not worth it. But a small burst over many zones leaves less than a token each.
    private fun minBatch(held: HeldShare, request: BatchRequest): TokenAmount {
        val halfBurst = TokenAmount(held.bucket.limit.burst.micro / 2)
        return minOf(request.amount, halfBurst, MIN_BATCH).coerceAtLeast(TokenAmount(1))
    }

    private companion object {
        val MIN_BATCH = TokenAmount(125_000)
    }
}
