package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Admits the requests of this daemon with its local tokens, and requests further tokens from the share holders. */
internal class AdmissionTask(
    private val environment: LimitEnvironment,
    private val holders: TokenHolders,
    private val clock: Clock,
) : Task<AdmissionCall>("admission"),
    Admission {
    private val decider = TokenClientDecider(environment.timing)
    private val locator = ShareHolderLocator()
    private var state = TokenClientState()
    private var replies: PersistentMap<Long, CompletableDeferred<Result<Long, ProxyError>>> = persistentMapOf()
    private var nextTicket = 0L
    private lateinit var scope: CoroutineScope

    override suspend fun admit(organisation: OrganisationId, grant: Grant, deadlineMillis: Long): Result<Long, ProxyError> {
        val reply = CompletableDeferred<Result<Long, ProxyError>>()
        val limit = RateLimit.of(grant, environment.timing.driftPartsPerMillion)
        val isAccepted = offer(AdmissionCall.Admit(organisation, limit, deadlineMillis, reply))
        return if (isAccepted) reply.await() else Err(ProxyError(ErrorKind.QUEUE_FULL, "too many requests are queued in this daemon"))
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TokenClientDecider.TICK_MILLIS, AdmissionCall.Tick)
    }

    override suspend fun handle(message: AdmissionCall) {
        when (message) {
            is AdmissionCall.Admit -> admit(message)
            is AdmissionCall.ReplyReceived -> decide(message.message)
            is AdmissionCall.Tick -> tick()
            is AdmissionCall.Leave -> leave(message)
        }
    }

    private fun admit(message: AdmissionCall.Admit) {
        if (state.zones.isEmpty()) refreshZones()
        val ticket = nextTicket++
        replies = replies.put(ticket, message.reply)
        decide(TokenClientMessage.Admit(ticket, message.organisation, message.limit, message.deadlineMillis))
    }

    private fun tick() {
        if (state.localTokens.isEmpty() && state.settlements.isEmpty()) return
        refreshZones()
        decide(TokenClientMessage.Tick)
    }

    private fun refreshZones() {
        val zones = locator.zonesOf(environment.view.current(), environment.zone)
        if (zones != state.zones) decide(TokenClientMessage.ZonesChanged(zones))
    }

    private fun leave(message: AdmissionCall.Leave) {
        val sends = decide(TokenClientMessage.Leave)
        scope.launch {
            sends.joinAll()
            message.done.complete(Unit)
        }
    }

    private fun decide(message: TokenClientMessage): List<Job> {
        val decision = decider.decide(state, message, clock.nowMillis())
        state = decision.state
        return decision.effects.flatMap { carryOut(it) }
    }

    private fun carryOut(effect: TokenClientEffect): List<Job> = when (effect) {
        is TokenClientEffect.Admitted -> answer(effect.ticket, Ok(effect.waitedMillis))
        is TokenClientEffect.Refused -> answer(effect.ticket, Err(refusal(effect)))
        is TokenClientEffect.Send -> send(effect)
    }

    private fun answer(ticket: Long, result: Result<Long, ProxyError>): List<Job> {
        replies[ticket]?.complete(result)
        replies = replies.remove(ticket)
        return emptyList()
    }

    private fun refusal(effect: TokenClientEffect.Refused) =
        ProxyError(ErrorKind.RATE_EXCEEDED, "the organisation has exceeded its rate limit and used up its burst", effect.retryAfterMillis)

    // Each organisation has its own holder in a zone, so one send may go to several daemons.
    private fun send(effect: TokenClientEffect.Send): List<Job> {
        val view = environment.view.current()
        val organisations = effect.request.batchRequests.map { it.organisation } + effect.request.settlements.map { it.organisation }
        return organisations.distinct().groupBy { locator.holderOf(it, effect.zone, view) }.map { (holder, mine) ->
            val request =
                TokenRequest(
                    settlements = effect.request.settlements.filter { it.organisation in mine },
                    batchRequests = effect.request.batchRequests.filter { it.organisation in mine },
                )
            scope.launch { exchange(effect, holder, request) }
        }
    }

    private suspend fun exchange(effect: TokenClientEffect.Send, holder: VmId?, request: TokenRequest) {
        val reply = holder?.let { holders.request(it, request) } ?: TokenReply()
        offer(AdmissionCall.ReplyReceived(TokenClientMessage.ReplyReceived(effect.zone, request.batchRequests, reply)))
    }
}
