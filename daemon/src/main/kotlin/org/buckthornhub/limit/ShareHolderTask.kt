package org.buckthornhub.limit

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlClient
import org.buckthornhub.http.PeerJson
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Refills the buckets of the shares that this daemon holds for its zone, issues tokens, and renews the leases with the control leader. */
internal class ShareHolderTask(
    private val environment: LimitEnvironment,
    private val control: ControlClient,
    private val clock: Clock,
) : Task<ShareHolderCall>("share holder") {
    private val decider = ShareHolderDecider(environment.timing)
    private val locator = ShareHolderLocator()
    private var state = ShareHolderState(environment.epoch)
    private var controlTerm = 0L
    private var revision = -1L
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, environment.timing.leaseMillis / RENEWALS_PER_LEASE, ShareHolderCall.Renew)
        scope.startTicker(this, CONFIGURATION_POLL_MILLIS, ShareHolderCall.RefreshLimits)
        offer(ShareHolderCall.Renew)
    }

    override suspend fun handle(message: ShareHolderCall) {
        when (message) {
            is ShareHolderCall.IssueTokens -> issueTokens(message)
            is ShareHolderCall.LeasesReplied -> applyLeases(message)
            is ShareHolderCall.Renew -> renew()
            is ShareHolderCall.RefreshLimits -> refreshLimits()
        }
    }

    private fun issueTokens(message: ShareHolderCall.IssueTokens) {
        val effects = decide(ShareHolderMessage.TokensRequested(replyId = 0, request = message.request))
        message.reply.complete(effects.filterIsInstance<ShareHolderEffect.Reply>().single().reply)
    }

    private fun renew() {
        val nowMillis = clock.nowMillis()
        val claims = environment.limits().keys.filter { isHeldHere(it) }.map { claimOf(it, nowMillis) }
        if (claims.isEmpty()) return
        val request = ShareRequest(HolderId(environment.vm, environment.epoch), environment.zone, controlTerm, nowMillis, claims)
        scope.launch { request(request) }
    }

    private fun claimOf(organisation: OrganisationId, nowMillis: Long): ShareClaim {
        val held = state.shares[organisation]?.takeIf { nowMillis < it.validUntilMillis } ?: return ShareClaim(organisation)
        return ShareClaim(organisation, held.partsPerMillion, held.requestedMillis)
    }

    private suspend fun request(request: ShareRequest) {
        val body = PeerJson.encodeToString(ShareRequest.serializer(), request)
        val reply = control.post(LimitRoutes.SHARES_PATH, body, CONTROL_TIMEOUT_MILLIS).get()?.takeIf { it.isSuccess } ?: return
        try {
            offer(ShareHolderCall.LeasesReplied(request, PeerJson.decodeFromString(ShareReply.serializer(), reply.body)))
        } catch (e: IllegalArgumentException) {
            logger.warn { "failed to decode the share leases from the control leader: ${e.message}" }
        }
    }

    private fun applyLeases(message: ShareHolderCall.LeasesReplied) {
        val isNewTerm = message.reply.controlTerm != controlTerm
        controlTerm = maxOf(controlTerm, message.reply.controlTerm)
        val limits = environment.limits()
        message.reply.partsPerMillion.forEach { (organisation, parts) ->
            val fleetLimit = limits[organisation]
            if (fleetLimit != null) {
                decide(
                    ShareHolderMessage.LeaseGranted(
                        organisation = organisation,
                        fleetLimit = fleetLimit,
                        partsPerMillion = parts,
                        requestedMillis = message.request.requestedMillis,
                        leaseMillis = message.reply.leaseMillis,
                        unleasedMillis = message.reply.unleasedMillis[organisation] ?: 0,
                    ),
                )
            }
        }
        // A new leader renews only claims that carry its term.
        if (isNewTerm) renew()
    }

    private fun refreshLimits() {
        val current = environment.configuration.current()
        if (current.revision == revision) return
        revision = current.revision
        decide(ShareHolderMessage.LimitsChanged(environment.limits()))
        renew()
    }

    private fun isHeldHere(organisation: OrganisationId): Boolean =
        locator.holderOf(organisation, environment.zone, environment.view.current()) == environment.vm

    private fun decide(message: ShareHolderMessage): List<ShareHolderEffect> {
        val decision = decider.decide(state, message, clock.nowMillis())
        state = decision.state
        return decision.effects
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 4
        const val CONFIGURATION_POLL_MILLIS = 200L
        const val CONTROL_TIMEOUT_MILLIS = 1_000L
        val logger = KotlinLogging.logger {}
    }
}
