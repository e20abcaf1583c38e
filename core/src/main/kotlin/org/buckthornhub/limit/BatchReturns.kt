package org.buckthornhub.limit

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.decision.Decision
import org.buckthornhub.organisation.OrganisationId

/** Returns unused tokens to their share holders, so that other VMs can get them. */
internal class BatchReturns(private val timing: LimitTiming) {
    /** Settles batches that are spent, have passed half of their lifetime, or hold less than one token while no admission waits. */
    fun returnExpiring(state: TokenClientState, nowMillis: Long): TokenClientState =
        state.localTokens.entries.fold(state) { rest, (organisation, local) ->
            val isRemainderUnusable = local.waiting.isEmpty() && local.available(nowMillis) < TokenAmount.ONE
            val ended = local.batches.filter { isRemainderUnusable || it.left == TokenAmount.ZERO || isExpiring(it, nowMillis) }
            val kept = (local.batches - ended.toSet()).toPersistentList()
            val isUnused =
                kept.isEmpty() &&
                    local.waiting.isEmpty() &&
                    local.batchRequests.isEmpty() &&
                    local.lastUsedMillis + UNUSED_AFTER_MILLIS < nowMillis
            val settled = ended.fold(rest) { all, batch -> all.withSettlement(batch.zone, settlement(organisation, batch)) }
            if (isUnused) {
                settled.copy(
                    localTokens = settled.localTokens.remove(organisation),
                )
            } else {
                settled.withLocalTokens(organisation, local.copy(batches = kept))
            }
        }

    /** Settles every batch that has not expired. */
    fun returnAll(state: TokenClientState, nowMillis: Long): TokenClientState =
        state.localTokens.entries.fold(state) { rest, (organisation, local) ->
            val live = local.batches.filter { nowMillis < it.validUntilMillis }
            val settled = live.fold(rest) { all, batch -> all.withSettlement(batch.zone, settlement(organisation, batch)) }
            settled.withLocalTokens(organisation, local.copy(batches = persistentListOf()))
        }

    /** Sends all pending settlements. */
    fun flush(state: TokenClientState, nowMillis: Long): Decision<TokenClientState, TokenClientEffect> {
        val sends = state.settlements.map { (zone, ended) -> TokenClientEffect.Send(zone, TokenRequest(settlements = ended)) }
        return Decision(state.copy(settlements = state.settlements.clear(), settledMillis = nowMillis), sends.toPersistentList())
    }

    private fun isExpiring(batch: TokenBatch, nowMillis: Long): Boolean = batch.validUntilMillis - timing.batchMillis / 2 <= nowMillis

    private fun settlement(organisation: OrganisationId, batch: TokenBatch) = BatchSettlement(organisation, batch.id, returned = batch.left)

    private companion object {
        const val UNUSED_AFTER_MILLIS = 2_000L
    }
}
