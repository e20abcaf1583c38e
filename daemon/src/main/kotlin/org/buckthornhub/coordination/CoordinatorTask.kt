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
import org.buckthornhub.failover.InstanceSurvey
import org.buckthornhub.failover.PromotionOrders
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.fleet.VmId
import org.buckthornhub.task.DeciderTask

/** Owns what the leader of the control quorum knows of instances and daemons, and has primaries replaced. */
internal class CoordinatorTask(
    private val vm: VmId,
    private val control: ControlLog,
    private val survey: InstanceSurvey,
    private val orders: PromotionOrders,
    clock: Clock,
) : DeciderTask<CoordinatorState, CoordinatorMessage, FailoverEffect>("coordinator", CoordinatorDecider(), CoordinatorState(), clock) {
    private val latest = MutableStateFlow(current())
    private lateinit var scope: CoroutineScope

    /** Emits after each message. */
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
            is FailoverEffect.LogEvent -> logger.info { "group ${effect.group}: ${effect.event}, because ${effect.reason}" }
        }
    }

    private suspend fun survey(effect: FailoverEffect.Survey) {
        val record = current().directory.records[effect.target]
        val status = record?.let { survey.statusOf(it, SURVEY_MILLIS) }
        offer(CoordinatorMessage.Failover(FailoverMessage.Surveyed(effect.group, effect.target, status)))
    }

    private suspend fun promote(effect: FailoverEffect.Promote) {
        delay(effect.delayMillis)
        // A leader that was deposed unnoticed must not give orders.
        val fence = control.confirmLeadership().get()
        val outcome = if (fence == null) PromotionOutcome.UNKNOWN else orders.promote(effect.group, effect.target, vm, fence)
        logger.info { "group ${effect.group}: order to promote ${effect.target} with fence $fence: $outcome" }
        offer(CoordinatorMessage.Failover(FailoverMessage.PromotionAttempted(effect.group, effect.target, outcome)))
    }

    private companion object {
        /** How soon a missing primary is noticed; in ms. */
        const val TICK_MILLIS = 200L

        /** A connect and one question; in ms. */
        const val SURVEY_MILLIS = 350L
        val logger = KotlinLogging.logger {}
    }
}
