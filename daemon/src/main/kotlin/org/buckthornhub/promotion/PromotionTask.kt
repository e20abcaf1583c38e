package org.buckthornhub.promotion

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlLog
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.lease.LeaseRoutes
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Grants leases and replaces primaries, as long as this control VM leads. */
internal class PromotionTask(
    settings: PromotionSettings,
    private val log: ControlLog,
    private val fleet: StateSource<FleetView>,
    private val links: HttpLink.Factory,
    private val headers: Map<String, String>,
    private val clock: Clock,
) : Task<PromotionTaskMessage>("promotion"),
    StateSource<PromotionState> {
    private val decider = PromotionDecider(settings)
    private val published = MutableStateFlow(PromotionState())
    private val targets = TargetLinks(links)
    private var waiting: PersistentList<PendingRenewal> = persistentListOf()
    private var isConfirming = false
    private lateinit var scope: CoroutineScope

    override fun current(): PromotionState = published.value

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.startTicker(this, TICK_MILLIS, PromotionTaskMessage.Tick)
    }

    override suspend fun handle(message: PromotionTaskMessage) {
        when (message) {
            is PromotionTaskMessage.Tick -> tick()
            is PromotionTaskMessage.Decide -> decide(message.message)
            is PromotionTaskMessage.Confirmed -> confirmed(message)
            is PromotionTaskMessage.Arrived -> {
                waiting = waiting.add(message.renewal)
                confirmWaiting()
            }
        }
    }

    override fun onEnd(): Unit = targets.close()

    private fun tick() {
        decide(PromotionMessage.Tick(log.leadership.current(), log.state.current().leaderships))
        targets.closeOthers(current().targets.values.map { it.report.address }.toSet())
    }

    // One confirmation serves all the renewals that came before it began.
    private fun confirmWaiting() {
        if (isConfirming || waiting.isEmpty()) return
        val batch = waiting
        val fromMillis = clock.nowMillis()
        waiting = persistentListOf()
        isConfirming = true
        scope.launch { offer(PromotionTaskMessage.Confirmed(batch, fromMillis, log.confirmLeadership())) }
    }

    private fun confirmed(message: PromotionTaskMessage.Confirmed) {
        isConfirming = false
        message.result.mapBoth(
            success = { controlTerm -> message.renewals.forEach { renew(it, controlTerm, message.fromMillis) } },
            failure = { error -> message.renewals.forEach { it.reply.complete(Err(error)) } },
        )
        confirmWaiting()
    }

    private fun renew(renewal: PendingRenewal, controlTerm: Long, fromMillis: Long) {
        if (current().control.controlTerm != controlTerm) tick()
        val leaderships = log.state.current().leaderships
        val reply = RenewReply { renewal.reply.complete(Ok(it)) }
        decide(PromotionMessage.Renewed(renewal.request, controlTerm, fromMillis, leaderships, reply))
    }

    private fun decide(message: PromotionMessage) {
        val decision = decider.decide(published.value, message, clock.nowMillis())
        published.value = decision.state
        decision.effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: PromotionEffect) {
        when (effect) {
            is PromotionEffect.AnswerRenewal -> effect.reply.complete(effect.response)
            is PromotionEffect.AnswerMove -> effect.reply.complete(effect.result)
            is PromotionEffect.Survey -> survey(effect)
            is PromotionEffect.Commit -> commit(effect)
            is PromotionEffect.OrderPromotion -> promote(effect, targets.to(effect.address))
            is PromotionEffect.OrderFollow -> follow(effect, targets.to(effect.address))
            is PromotionEffect.OfferLease -> offerLease(effect)
        }
    }

    private fun survey(effect: PromotionEffect.Survey) {
        val asked = effect.targets.map { it to targets.to(it.address) }
        scope.launch {
            delay(effect.delayMillis)
            val answers = coroutineScope { asked.map { (report, link) -> async { statusOf(report, link) } }.awaitAll() }.filterNotNull()
            report(PromotionMessage.Surveyed(effect.group, effect.expectedTerm, effect.askedMillis, answers))
        }
    }

    private suspend fun statusOf(report: TargetReport, link: TargetLink): TargetReport? {
        val found = link.status(SURVEY_TIMEOUT_MILLIS)?.takeIf { it.target == report.target } ?: return null
        return report.copy(role = found.role, term = found.term, received = found.received, reachable = true, leaving = found.leaving)
    }

    private fun commit(effect: PromotionEffect.Commit) {
        scope.launch { report(PromotionMessage.Committed(effect.command.leadership, log.propose(effect.command).get())) }
    }

    private fun promote(effect: PromotionEffect.OrderPromotion, link: TargetLink) {
        scope.launch {
            val isDone = link.promote(effect.leadership.term, ORDER_TIMEOUT_MILLIS)
            report(PromotionMessage.PromotionAttempted(effect.leadership, isDone))
        }
    }

    private fun follow(effect: PromotionEffect.OrderFollow, link: TargetLink) {
        scope.launch { link.follow(effect.term, effect.primaryAddress, ORDER_TIMEOUT_MILLIS) }
    }

    // The feed will bring the new term as well; the offer only saves the wait.
    private fun offerLease(effect: PromotionEffect.OfferLease) {
        val daemon = fleet.current().daemons[effect.vm] ?: return
        val body = PeerJson.encodeToString(GroupLeadership.serializer(), effect.leadership)
        scope.launch { links.open(daemon.address).use { it.post(LeaseRoutes.OFFER_PATH, body, ORDER_TIMEOUT_MILLIS, headers) } }
    }

    private fun report(message: PromotionMessage) {
        offer(PromotionTaskMessage.Decide(message))
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val SURVEY_TIMEOUT_MILLIS = 300L
        const val ORDER_TIMEOUT_MILLIS = 300L
    }
}
