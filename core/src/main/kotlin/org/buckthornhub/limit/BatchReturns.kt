package org.buckthornhub.limit

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decision
import org.buckthornhub.organisation.OrganisationId

/** Gives tokens that are not needed here back to their holders, so that another VM can have them. */
internal class BatchReturns(private val timing: LimitTiming) {
    /** Ends batches that are spent, past half their time, or less than a token that nobody waits for. */
    fun returnOld(state: TokenClientState, nowMillis: Long): TokenClientState =
        state.purses.entries.fold(state) { rest, (organisation, purse) ->
            val isSliver = purse.waiting.isEmpty() && purse.spendable(nowMillis) < TokenAmount.ONE
            val ended = purse.batches.filter { isSliver || it.left == TokenAmount.ZERO || isOld(it, nowMillis) }
            val kept = (purse.batches - ended.toSet()).toPersistentList()
            val isUnused = kept.isEmpty() && purse.waiting.isEmpty() && purse.asks.isEmpty() && purse.usedMillis + UNUSED_MILLIS < nowMillis
            val settled = ended.fold(rest) { all, batch -> all.withSettlement(batch.zone, settlement(organisation, batch)) }
            if (isUnused) {
                settled.copy(
                    purses = settled.purses.remove(organisation),
                )
            } else {
                settled.withPurse(organisation, purse.copy(batches = kept))
            }
        }

    /** Ends every batch. */
    fun returnAll(state: TokenClientState, nowMillis: Long): TokenClientState =
        state.purses.entries.fold(state) { rest, (organisation, purse) ->
            val live = purse.batches.filter { nowMillis < it.validUntilMillis }
            val settled = live.fold(rest) { all, batch -> all.withSettlement(batch.zone, settlement(organisation, batch)) }
            settled.withPurse(organisation, purse.copy(batches = persistentListOf()))
        }

    /** Sends every settlement that waits. */
    fun flush(state: TokenClientState, nowMillis: Long): Decision<TokenClientState, TokenClientEffect> {
        val sends = state.settlements.map { (zone, ended) -> TokenClientEffect.Send(zone, TokenRequest(settlements = ended)) }
        return Decision(state.copy(settlements = state.settlements.clear(), settledMillis = nowMillis), sends.toPersistentList())
    }

    private fun isOld(batch: TokenBatch, nowMillis: Long): Boolean = batch.validUntilMillis - timing.batchMillis / 2 <= nowMillis

    private fun settlement(organisation: OrganisationId, batch: TokenBatch) = BatchSettlement(organisation, batch.id, returned = batch.left)

    private companion object {
        const val UNUSED_MILLIS = 2_000L
    }
}
