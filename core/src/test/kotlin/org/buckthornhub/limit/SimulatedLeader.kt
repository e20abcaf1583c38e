package org.buckthornhub.limit

/** A control leader that replies only while it is the latest one. */
internal class SimulatedLeader(
    private val fleet: SimulatedFleet,
    private val controlTerm: Long,
    private val clock: DriftingClock,
) {
    private val decider = ShareLedgerDecider(fleet.plan.timing.leaseMillis, fleet.plan.strategy.allocator)
    private var ledger = ShareLedger()

    init {
        handle(ShareLedgerMessage.LeadershipAcquired(controlTerm, clock.nowMillis()))
        // The first leader has no predecessor whose leases could be in use.
        if (controlTerm == 1L) ledger = ledger.copy(newGrantsFromMillis = 0)
    }

    fun request(request: ShareRequest, reply: (ShareReply) -> Unit) {
        val effects = handle(ShareLedgerMessage.SharesRequested(0, request, fleet.shareZones))
        fleet.time.after(CONFIRM_MICROS) {
            if (fleet.leader === this) effects.forEach { if (it is ShareLedgerEffect.Reply) reply(it.reply) }
        }
    }

    private fun handle(message: ShareLedgerMessage): List<ShareLedgerEffect> {
        val decision = decider.decide(ledger, message, clock.nowMillis())
        ledger = decision.state
        return decision.effects
    }

    private companion object {
        const val CONFIRM_MICROS = 2_000L
    }
}
