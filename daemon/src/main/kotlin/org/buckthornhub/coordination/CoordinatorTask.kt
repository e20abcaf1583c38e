package org.buckthornhub.coordination

import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.control.Evacuations
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.directory.InstanceRecordCheck
import org.buckthornhub.directory.RefusedAnnouncementLog
import org.buckthornhub.failover.FailoverDecider
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.FailoverSettings
import org.buckthornhub.failover.FencingToken
import org.buckthornhub.failover.InstancePromoter
import org.buckthornhub.failover.InstanceSurvey
import org.buckthornhub.failover.PrimaryStopper
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.failover.ReplicaControl
import org.buckthornhub.fleet.VmId
import org.buckthornhub.routetable.RouteTableParser
import org.buckthornhub.target.TargetId
import org.buckthornhub.task.DeciderTask

/** Owns the state of the instances and daemons on the control leader, and starts failovers. */
internal class CoordinatorTask(
    private val vm: VmId,
    private val control: ControlLog,
    private val survey: InstanceSurvey,
    private val orders: InstancePromoter,
    private val stopper: PrimaryStopper,
    settings: FailoverSettings,
    clock: Clock,
    private val replicas: ReplicaControl? = null,
    parser: RouteTableParser? = null,
) : DeciderTask<CoordinatorState, CoordinatorMessage, FailoverEffect>(
    "coordinator",
    CoordinatorDecider(FailoverDecider(settings)),
    CoordinatorState(),
    clock,
) {
    private val latest = MutableStateFlow(current())
    private val refused = RefusedAnnouncementLog(clock)
    private val syncReplicas = SyncReplicas(parser)
    private lateinit var scope: CoroutineScope

    /** Emits after each handled message. */
    val changes: Flow<Any> get() = latest

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.launch {
            var known = Evacuations()
            while (true) {
                val state = control.state.current()
                offer(tick(state))
                if (state.evacuations != known) {
                    known = state.evacuations
                    logger.info { "evacuated zones are ${known.zones}, change ${known.revision}" }
                }
                delay(TICK_MILLIS)
            }
        }
    }

    private fun tick(state: ControlState) = CoordinatorMessage.Tick(
        control.leadership.current().isLeader,
        state.designations,
        state.evacuations.zones,
        syncReplicas.of(state.routeTable),
        state.routeTable?.table?.groups?.keys ?: emptySet(),
    )

    override suspend fun handle(message: CoordinatorMessage) {
        super.handle(withoutInvalid(message) ?: return)
        latest.value = current()
    }

    // Other control VMs and daemons may run a version that does not check what they pass on.
    private fun withoutInvalid(message: CoordinatorMessage): CoordinatorMessage? = when (message) {
        is CoordinatorMessage.Announced -> message.takeIf { isValid(it.record) }
        is CoordinatorMessage.Reported ->
            message.copy(report = message.report.copy(instances = message.report.instances.filter { isValid(it) }))
        else -> message
    }

    private fun isValid(record: InstanceRecord): Boolean {
        val error = InstanceRecordCheck.errorIn(record, clock.wallMillis()) ?: return true
        refused.record(record.target.value, error)
        return false
    }

    override suspend fun carryOut(effect: FailoverEffect) {
        when (effect) {
            is FailoverEffect.Survey -> scope.launch { survey(effect) }
            is FailoverEffect.SurveyHolder -> scope.launch { surveyHolder(effect) }
            is FailoverEffect.Resume -> scope.launch { resume(effect) }
            is FailoverEffect.Promote -> scope.launch { promote(effect) }
            is FailoverEffect.Designate -> scope.launch { designate(effect) }
            is FailoverEffect.StopPrimary -> scope.launch { stopPrimary(effect) }
            is FailoverEffect.LogEvent -> logger.info { "group ${effect.group}: ${effect.event}, reason: ${effect.reason}" }
        }
    }

    private suspend fun survey(effect: FailoverEffect.Survey) {
        val record = current().directory.records[effect.target]
        val status = record?.let { survey.statusOf(it, SURVEY_TIMEOUT_MILLIS) }
        offer(FailoverMessage.Surveyed(effect.group, effect.target, status))
    }

    private suspend fun surveyHolder(effect: FailoverEffect.SurveyHolder) {
        val record = current().directory.records[effect.target]
        // A leader that was replaced without noticing must not pause anything.
        val mayAsk = effect.pauseIn == null || control.confirmLeadership().isOk
        val status = if (mayAsk) record?.let { replicas?.pause(it, effect.pauseIn, SURVEY_TIMEOUT_MILLIS) } else null
        offer(FailoverMessage.HolderAnswered(effect.group, effect.target, effect.round, status))
    }

    private suspend fun resume(effect: FailoverEffect.Resume) {
        val record = current().directory.records[effect.target]
        val isDone = record == null || replicas?.resume(record, SURVEY_TIMEOUT_MILLIS) ?: true
        if (!isDone) delay(RESUME_RETRY_MILLIS)
        offer(FailoverMessage.Resumed(effect.target, isDone))
    }

    private suspend fun designate(effect: FailoverEffect.Designate) {
        if (isEvacuated(effect.target)) return offer(FailoverMessage.Designated(effect.group, effect.target, designations = null))
        val command = ControlCommand.DesignatePrimary(effect.group, effect.target, effect.expected)
        val isCommitted = control.propose(command).mapBoth(
            success = { it is CommandOutcome.Accepted },
            failure = {
                logger.warn { "group ${effect.group}: designation of ${effect.target} failed: ${it.detail}" }
                false
            },
        )
        val designations = control.state.current().designations.takeIf { isCommitted }
        offer(FailoverMessage.Designated(effect.group, effect.target, designations))
    }

    private suspend fun stopPrimary(effect: FailoverEffect.StopPrimary) {
        val record = current().directory.records[effect.target] ?: return
        val isStopped = stopper.stop(record, effect.term, SURVEY_TIMEOUT_MILLIS)
        val result = if (isStopped) "has given up its role" else "did not confirm that it gave up its role"
        logger.info { "group ${effect.group}: ${effect.target} $result" }
        if (isStopped) offer(FailoverMessage.PrimaryStopped(effect.group, effect.target))
    }

    private suspend fun promote(effect: FailoverEffect.Promote) {
        delay(effect.delayMillis)
        if (isEvacuated(effect.target)) {
            logger.info { "group ${effect.group}: ${effect.target} is not promoted, as its zone is evacuated" }
            return offer(FailoverMessage.PromotionAttempted(effect.group, effect.target, PromotionOutcome.REFUSED))
        }
        // A leader that was replaced without noticing must not promote anything.
        val fence = control.confirmLeadership().get()?.let { FencingToken.of(it, effect.order) }
        val outcome = if (fence == null) PromotionOutcome.UNKNOWN else orders.promote(effect.group, effect.target, vm, fence)
        logger.info { "group ${effect.group}: promotion of ${effect.target} with fencing token $fence: $outcome" }
        offer(FailoverMessage.PromotionAttempted(effect.group, effect.target, outcome))
    }

    // The order may have arrived after the last tick.
    private fun isEvacuated(target: TargetId): Boolean =
        current().directory.records[target]?.let { it.zone in control.state.current().evacuations.zones } ?: false

    private fun offer(message: FailoverMessage) {
        offer(CoordinatorMessage.Failover(message))
    }

    private companion object {
        /** Interval at which missing primaries are detected; in ms. */
        const val TICK_MILLIS = 200L

        /** Covers a connect and one request; in ms. */
        const val SURVEY_TIMEOUT_MILLIS = 350L

        /** Delay after which a replica that did not confirm that it receives commits is asked again; in ms. */
        const val RESUME_RETRY_MILLIS = 1_000L
        val logger = KotlinLogging.logger {}
    }
}
