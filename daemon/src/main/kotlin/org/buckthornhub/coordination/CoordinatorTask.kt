package org.buckthornhub.coordination

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.control.ControlLog
import org.buckthornhub.failover.FailoverEffect
import org.buckthornhub.failover.FailoverMessage
import org.buckthornhub.failover.InstancePromoter
import org.buckthornhub.failover.InstanceSurvey
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.fleet.VmId
import org.buckthornhub.task.DeciderTask

/** Owns the state of the instances and daemons on the control leader, and starts failovers. */
internal class CoordinatorTask(
    private val vm: VmId,
    private val control: ControlLog,
    private val survey: InstanceSurvey,
    private val orders: InstancePromoter,
    clock: Clock,
) : DeciderTask<CoordinatorState, CoordinatorMessage, FailoverEffect>("coordinator", CoordinatorDecider(), CoordinatorState(), clock) {
    private val latest = MutableStateFlow(current())
    private lateinit var scope: CoroutineScope

    /** Emits after each handled message. */
    val changes: Flow<Any> get() = latest

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
        scope.launch {
            while (true) {
                offer(CoordinatorMessage.Tick(control.leadership.current().isLeader))
                delay(TICK_MILLIS)
            }
        }
    }

    override suspend fun handle(message: CoordinatorMessage) {
        super.handle(message)
        latest.value = current()
    }

    override suspend fun carryOut(effect: FailoverEffect) {
        when (effect) {
            is FailoverEffect.Survey -> scope.launch { survey(effect) }
            is FailoverEffect.Promote -> scope.launch { promote(effect) }
            is FailoverEffect.LogEvent -> logger.info { "group ${effect.group}: ${effect.event}, reason: ${effect.reason}" }
        }
    }

    private suspend fun survey(effect: FailoverEffect.Survey) {
        val record = current().directory.records[effect.target]
        val status = record?.let { survey.statusOf(it, SURVEY_TIMEOUT_MILLIS) }
        offer(CoordinatorMessage.Failover(FailoverMessage.Surveyed(effect.group, effect.target, status)))
    }

    private suspend fun promote(effect: FailoverEffect.Promote) {
        delay(effect.delayMillis)
        // A leader that was replaced without noticing must not promote anything.
        val fence = control.confirmLeadership().get()
        val outcome = if (fence == null) PromotionOutcome.UNKNOWN else orders.promote(effect.group, effect.target, vm, fence)
        logger.info { "group ${effect.group}: promotion of ${effect.target} with fencing token $fence: $outcome" }
        offer(CoordinatorMessage.Failover(FailoverMessage.PromotionAttempted(effect.group, effect.target, outcome)))
    }

    private companion object {
        /** Interval at which missing primaries are detected; in ms. */
        const val TICK_MILLIS = 200L

        /** Covers a connect and one request; in ms. */
        const val SURVEY_TIMEOUT_MILLIS = 350L
        val logger = KotlinLogging.logger {}
    }
}
