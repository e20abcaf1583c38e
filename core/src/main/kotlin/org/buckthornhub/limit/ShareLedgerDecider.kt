package org.buckthornhub.limit

import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision

/**
 * Leases shares of each organisation's limit to zones; the parts of one organisation never sum to more than the whole.
 *
 * The ledger is in memory. A new leader first only renews what its holders still hold: a claim that names the new
 * leader's term was sent after the old leader's last grant, so a share that was held then is held by nobody else.
 * After one lease every share that nobody claimed has expired, and all is free to be granted.
 */
public class ShareLedgerDecider(
    private val leaseMillis: Long,
    private val targets: ShareTargets = EqualShareTargets(),
) : Decider<ShareLedger, ShareLedgerMessage, ShareLedgerEffect> {
    override fun decide(state: ShareLedger, message: ShareLedgerMessage, nowMillis: Long): Decision<ShareLedger, ShareLedgerEffect> =
        when (message) {
            is ShareLedgerMessage.LeadershipBegan -> Decision(began(message))
            is ShareLedgerMessage.Requested -> requested(state, message, nowMillis)
        }

    // The leader of the first term has no predecessor, so nobody can ever have held a share.
    private fun began(message: ShareLedgerMessage.LeadershipBegan): ShareLedger {
        val freeFromMillis = message.sinceMillis + leaseMillis + 1
        if (message.controlTerm != FIRST_CONTROL_TERM) return ShareLedger(message.controlTerm, freeFromMillis)
        return ShareLedger(message.controlTerm, message.sinceMillis, message.sinceMillis - RateLimit.NEVER_MILLIS)
    }

    private fun requested(
        state: ShareLedger,
        message: ShareLedgerMessage.Requested,
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
        message: ShareLedgerMessage.Requested,
        nowMillis: Long,
    ): Pair<ShareLedger, ShareReply> {
        val request = message.request
        val known = ledger.shares[claim.organisation] ?: OrganisationShares()
        val shares =
            known
                .confirmed(request.zone, request.holder, claim.heldAskedMillis, nowMillis)
                .let { it.copy(demands = it.demands.put(request.zone, claim.demand)) }
        val parts = partsFor(shares, claim, message, nowMillis < ledger.freeFromMillis, nowMillis)
        if (parts <= 0) return ledger.copy(shares = ledger.shares.put(claim.organisation, shares)) to reply
        val lease = GrantedShare(request.holder, parts, request.askedMillis, nowMillis + leaseMillis + 1)
        val isNew = shares.leasesOf(request.zone, nowMillis).isEmpty()
        val unheldMillis = if (isNew) shares.unheldMillis(request.zone, parts, ledger.unheldSinceMillis, nowMillis) else 0
        val leased = shares.granted(request.zone, lease, ledger.unheldSinceMillis, nowMillis)
        return ledger.copy(shares = ledger.shares.put(claim.organisation, leased)) to
            reply.copy(
                partsPerMillion = reply.partsPerMillion + (claim.organisation to parts),
                unheldMillis = if (unheldMillis > 0) reply.unheldMillis + (claim.organisation to unheldMillis) else reply.unheldMillis,
            )
    }

    private fun partsFor(
        shares: OrganisationShares,
        claim: ShareClaim,
        message: ShareLedgerMessage.Requested,
        isRenewalOnly: Boolean,
        nowMillis: Long,
    ): Int {
        val zone = message.request.zone
        if (shares.leasesOf(zone, nowMillis).any { it.holder != message.request.holder }) return 0
        val free = WHOLE - shares.partsElsewhere(zone, nowMillis)
        val wanted = if (isRenewalOnly) claim.heldPartsPerMillion else targets.partsOf(zone, message.zones, shares.demands)
        return wanted.coerceAtMost(free)
    }

    private companion object {
        const val WHOLE = 1_000_000
        const val FIRST_CONTROL_TERM = 1L
    }
}
