package org.buckthornhub.limit

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/** One run of a daemon, with its token client and its share holder wired as in the daemon's tasks. */
internal class SimulatedDaemon(
    private val fleet: SimulatedFleet,
    val index: Int,
    val zone: ZoneId,
    private val clock: DriftingClock,
    private val epoch: Long,
) {
    private val holderDecider = ShareHolderDecider(fleet.plan.timing)
    private val clientDecider = TokenClientDecider(fleet.plan.timing)
    private var holder = ShareHolderState(epoch)
    private var client = TokenClientState()
    private var controlTerm = 1L
    private var demands = emptyMap<OrganisationId, Int>()
    private var replies = emptyMap<Long, (TokenReply) -> Unit>()
    private var tickets = emptyMap<Long, (Boolean) -> Unit>()
    private var next = 0L
    var pausedUntilMicros = 0L
    var isDead = false

    fun start() {
        onClient(TokenClientMessage.ZonesChanged(fleet.zonesSeenFrom(this)))
        renew()
        tick()
    }

    fun arrive(organisation: OrganisationId, limit: RateLimit, done: (Boolean) -> Unit) = whenRunning {
        val ticket = next++
        tickets = tickets + (ticket to done)
        demands = demands + (organisation to (demands[organisation] ?: 0) + 1)
        onClient(TokenClientMessage.Admit(ticket, organisation, limit, clock.nowMillis() + DEADLINE_MILLIS))
    }

    fun onRequest(request: TokenRequest, reply: (TokenReply) -> Unit) = whenRunning {
        val replyId = next++
        replies = replies + (replyId to reply)
        onHolder(ShareHolderMessage.TokensRequested(replyId, request))
    }

    fun changeLimits(limits: Map<OrganisationId, RateLimit>) = whenRunning { onHolder(ShareHolderMessage.LimitsChanged(limits)) }

    /** Runs [action] now, after the current pause of the process, or never if the process is dead. */
    fun whenRunning(action: () -> Unit) {
        when {
            isDead -> return
            fleet.time.nowMicros < pausedUntilMicros -> fleet.time.after(pausedUntilMicros - fleet.time.nowMicros) { whenRunning(action) }
            else -> action()
        }
    }

    private fun tick(): Unit = whenRunning {
        onClient(TokenClientMessage.Tick)
        fleet.time.after(TokenClientDecider.TICK_MILLIS * 1_000) { tick() }
    }

    private fun renew(): Unit = whenRunning {
        val nowMillis = clock.nowMillis()
        val claims =
            fleet.limits.keys.filter { fleet.isHolder(this, it) }.map { organisation ->
                val held = holder.shares[organisation]?.takeIf { nowMillis < it.validUntilMillis }
                ShareClaim(organisation, held?.partsPerMillion ?: 0, held?.requestedMillis ?: 0, demands[organisation] ?: 0)
            }
        demands = emptyMap()
        val request = ShareRequest(HolderId(VmId("vm$index"), epoch), fleet.shareZoneOf(this), controlTerm, nowMillis, claims)
        if (claims.isNotEmpty()) {
            fleet.requestShares(this, request) { reply -> whenRunning { leased(request, reply) } }
        }
        fleet.time.after(fleet.plan.renewMillis * 1_000) { renew() }
    }

    private fun leased(request: ShareRequest, reply: ShareReply) {
        controlTerm = maxOf(controlTerm, reply.controlTerm)
        reply.partsPerMillion.forEach { (organisation, parts) ->
            val fleetLimit = fleet.limits.getValue(organisation)
            onHolder(
                ShareHolderMessage.LeaseGranted(
                    organisation,
                    fleetLimit,
                    parts,
                    request.requestedMillis,
                    reply.leaseMillis,
                    reply.unleasedMillis[organisation] ?: 0,
                ),
            )
        }
    }

    private fun onHolder(message: ShareHolderMessage) {
        val decision = holderDecider.decide(holder, message, clock.nowMillis())
        holder = decision.state
        decision.effects.forEach { effect ->
            if (effect is ShareHolderEffect.Reply) {
                replies[effect.replyId]?.invoke(effect.reply)
                replies = replies - effect.replyId
            }
        }
    }

    private fun onClient(message: TokenClientMessage) {
        val decision = clientDecider.decide(client, message, clock.nowMillis())
        client = decision.state
        decision.effects.forEach { effect ->
            when (effect) {
                is TokenClientEffect.Admitted -> end(effect.ticket, isAdmitted = true)
                is TokenClientEffect.Refused -> end(effect.ticket, isAdmitted = false)
                is TokenClientEffect.Send -> send(effect)
            }
        }
    }

    // Each organisation has its own holder in a zone, so one effect may send to several daemons.
    private fun send(effect: TokenClientEffect.Send) {
        val settlements = effect.request.settlements.groupBy { it.organisation }
        val batchRequests = effect.request.batchRequests.groupBy { it.organisation }
        (settlements.keys + batchRequests.keys).forEach { organisation ->
            val request = TokenRequest(settlements[organisation].orEmpty(), batchRequests[organisation].orEmpty())
            fleet.send(this, effect.zone, organisation, request) { reply ->
                whenRunning { onClient(TokenClientMessage.ReplyReceived(effect.zone, request.batchRequests, reply)) }
            }
        }
    }

    private fun end(ticket: Long, isAdmitted: Boolean) {
        tickets[ticket]?.invoke(isAdmitted)
        tickets = tickets - ticket
    }

    private companion object {
        const val DEADLINE_MILLIS = 1_000L
    }
}
