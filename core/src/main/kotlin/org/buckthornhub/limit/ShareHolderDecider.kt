package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Mints a zone's shares and moves tokens out in batches.
 *
 * A batch counts against the burst until it is settled or expired, and expires with the lease at the latest; so a new
 * holder, which starts after the lease with what was minted since, never adds to tokens that are still in other hands.
 */
public class ShareHolderDecider(private val timing: LimitTiming) : Decider<ShareHolderState, ShareHolderMessage, ShareHolderEffect> {
    override fun decide(
        state: ShareHolderState,
        message: ShareHolderMessage,
        nowMillis: Long,
    ): Decision<ShareHolderState, ShareHolderEffect> = when (message) {
        is ShareHolderMessage.Leased -> Decision(leased(state, message, nowMillis))
        is ShareHolderMessage.Relimited -> Decision(relimited(state, message, nowMillis))
        is ShareHolderMessage.Asked -> asked(state, message, nowMillis)
    }

    private fun leased(state: ShareHolderState, message: ShareHolderMessage.Leased, nowMillis: Long): ShareHolderState {
        val validUntilMillis = message.askedMillis + timing.lessDrift(message.leaseMillis)
        val held = state.shares[message.organisation]
        if (validUntilMillis <= nowMillis || held != null && message.askedMillis <= held.askedMillis) return state
        val part = message.whole.part(message.partsPerMillion)
        val share =
            if (held == null || held.validUntilMillis <= nowMillis) {
                HeldShare(message.whole, message.partsPerMillion, message.askedMillis, validUntilMillis, bucketOf(part, message, nowMillis))
            } else {
                val current = held.at(nowMillis)
                current.copy(
                    whole = message.whole,
                    partsPerMillion = message.partsPerMillion,
                    askedMillis = message.askedMillis,
                    validUntilMillis = validUntilMillis,
                    bucket = current.bucket.relimitedAt(part, nowMillis),
                )
            }
        return state.copy(shares = state.shares.put(message.organisation, share))
    }

    // The share minted while nobody held it, as a bucket that no one drew from would have.
    private fun bucketOf(part: RateLimit, message: ShareHolderMessage.Leased, nowMillis: Long): TokenBucket {
        val unheldMillis = timing.lessDrift(message.unheldMillis).coerceAtLeast(0)
        return TokenBucket(part, nowMillis - unheldMillis).mintedAt(nowMillis)
    }

    private fun relimited(state: ShareHolderState, message: ShareHolderMessage.Relimited, nowMillis: Long): ShareHolderState {
        val kept =
            state.shares
                .mapNotNull { (organisation, held) ->
                    message.limits[organisation]?.let { organisation to relimit(held.at(nowMillis), it, nowMillis) }
                }.toMap()
        return state.copy(shares = kept.toPersistentMap())
    }

    private fun relimit(held: HeldShare, whole: RateLimit, nowMillis: Long): HeldShare =
        held.copy(whole = whole, bucket = held.bucket.relimitedAt(whole.part(held.partsPerMillion), nowMillis))

    private fun asked(
        state: ShareHolderState,
        message: ShareHolderMessage.Asked,
        nowMillis: Long,
    ): Decision<ShareHolderState, ShareHolderEffect> {
        val settled = message.request.settlements.fold(state) { rest, settlement -> settle(rest, settlement, nowMillis) }
        val start = settled to persistentListOf<TokenGrant>()
        val (next, grants) = message.request.asks.fold(start) { (rest, grants), ask -> handOut(rest, grants, ask, nowMillis) }
        return Decision(next, persistentListOf(ShareHolderEffect.Reply(message.replyId, TokenReply(grants))))
    }

    private fun settle(state: ShareHolderState, settlement: BatchSettlement, nowMillis: Long): ShareHolderState {
        val held = state.shares[settlement.organisation] ?: return state
        return state.copy(shares = state.shares.put(settlement.organisation, held.at(nowMillis).settled(settlement)))
    }

    private fun handOut(
        state: ShareHolderState,
        grants: PersistentList<TokenGrant>,
        ask: TokenAsk,
        nowMillis: Long,
    ): Pair<ShareHolderState, PersistentList<TokenGrant>> {
        val held = state.shares[ask.organisation]?.at(nowMillis) ?: return state to grants
        val validForMillis = minOf(timing.batchMillis, held.validUntilMillis - nowMillis)
        val amount = minOf(ask.amount, held.bucket.tokens)
        if (validForMillis <= 0 || amount < smallestBatch(held, ask)) return state to grants
        val id = BatchId(state.epoch, state.nextSequence)
        val share = held.handOut(id, HandedOutBatch(amount, nowMillis + validForMillis))
        val next = state.copy(nextSequence = state.nextSequence + 1, shares = state.shares.put(ask.organisation, share))
        return next to grants.add(TokenGrant(ask.askId, id, amount, validForMillis))
    }

    // Slivers cost a message each; but a small burst over many zones comes in parts of a token.
    private fun smallestBatch(held: HeldShare, ask: TokenAsk): TokenAmount {
        val halfBurst = TokenAmount(held.bucket.limit.burst.micro / 2)
        return minOf(ask.amount, halfBurst, SMALLEST_BATCH).coerceAtLeast(TokenAmount(1))
    }

    private companion object {
        val SMALLEST_BATCH = TokenAmount(125_000)
    }
}
