package org.buckthornhub.limit

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Leases shares of each organisation's limit to zones; the shares of one organisation never add up to more than the limit.
 *
 * The ledger is kept in memory only. During its first lease duration, a new leader only renews leases that holders claim:
 * a claim with the new leader's term was sent after the old leader's last grant, so no other daemon holds that share.
 * After that, every unclaimed lease has expired, and all shares may be granted.
 */
public class ShareLedgerDecider(
    private val leaseMillis: Long,
    private val allocator: ShareAllocator = EqualShareAllocator(),
) : Decider<ShareLedger, ShareLedgerMessage, ShareLedgerEffect> {
    override fun decide(state: ShareLedger, message: ShareLedgerMessage, nowMillis: Long): Decision<ShareLedger, ShareLedgerEffect> =
        when (message) {
            is ShareLedgerMessage.LeadershipAcquired -> Decision(onLeadershipAcquired(message))
            is ShareLedgerMessage.SharesRequested -> onSharesRequested(state, message, nowMillis)
        }

    // The leader of the first term has no predecessor, so no share can have been leased before.
    private fun onLeadershipAcquired(message: ShareLedgerMessage.LeadershipAcquired): ShareLedger {
        val newGrantsFromMillis = message.sinceMillis + leaseMillis + 1
        if (message.controlTerm != FIRST_CONTROL_TERM) return ShareLedger(message.controlTerm, newGrantsFromMillis)
        return ShareLedger(message.controlTerm, message.sinceMillis, message.sinceMillis - RateLimit.NEVER_MILLIS)
    }

    private fun onSharesRequested(
        state: ShareLedger,
        message: ShareLedgerMessage.SharesRequested,
        nowMillis: Long,
    ): Decision<ShareLedger, ShareLedgerEffect> {
        val isCurrent = message.request.controlTerm == state.controlTerm
        val claims = if (isCurrent) message.request.claims else emptyList()
        val start = state to ShareReply(state.controlTerm, leaseMillis, emptyMap())
        val (ledger, reply) = claims.fold(start) { (ledger, reply), claim -> grant(ledger, reply, claim, message, nowMillis) }
        return Decision(ledger, persistentListOf(ShareLedgerEffect.Reply(message.replyId, reply)))
    }

    private fun grant(
        ledger: ShareLedger,
        reply: ShareReply,
        claim: ShareClaim,
        message: ShareLedgerMessage.SharesRequested,
        nowMillis: Long,
    ): Pair<ShareLedger, ShareReply> {
        val request = message.request
        val known = ledger.shares[claim.organisation] ?: OrganisationShares()
        val shares =
            known
                .confirmed(request.zone, request.holder, claim.heldRequestedMillis, nowMillis)
                .let { it.copy(demands = it.demands.put(request.zone, claim.demand)) }
        val parts = partsFor(shares, claim, message, nowMillis < ledger.newGrantsFromMillis, nowMillis)
        if (parts <= 0) return ledger.copy(shares = ledger.shares.put(claim.organisation, shares)) to reply
        val lease = ShareLease(request.holder, parts, request.requestedMillis, nowMillis + leaseMillis + 1)
        val isNew = shares.leasesOf(request.zone, nowMillis).isEmpty()
        val unleasedMillis = if (isNew) shares.unleasedMillis(request.zone, parts, ledger.unleasedSinceMillis, nowMillis) else 0
        val leased = shares.granted(request.zone, lease, ledger.unleasedSinceMillis, nowMillis)
        return ledger.copy(shares = ledger.shares.put(claim.organisation, leased)) to
            reply.copy(
                partsPerMillion = reply.partsPerMillion + (claim.organisation to parts),
                unleasedMillis =
                if (unleasedMillis > 0) reply.unleasedMillis + (claim.organisation to unleasedMillis) else reply.unleasedMillis,
            )
    }

    private fun partsFor(
        shares: OrganisationShares,
        claim: ShareClaim,
        message: ShareLedgerMessage.SharesRequested,
        isRenewalOnly: Boolean,
        nowMillis: Long,
    ): Int {
        val zone = message.request.zone
        if (shares.leasesOf(zone, nowMillis).any { it.holder != message.request.holder }) return 0
        val free = TOTAL_PARTS - shares.partsOfOtherZones(zone, nowMillis)
        val wanted = if (isRenewalOnly) claim.heldPartsPerMillion else allocator.partsOf(zone, message.zones, shares.demands)
        return wanted.coerceAtMost(free)
    }

    private companion object {
        const val TOTAL_PARTS = 1_000_000
        const val FIRST_CONTROL_TERM = 1L
    }
}
