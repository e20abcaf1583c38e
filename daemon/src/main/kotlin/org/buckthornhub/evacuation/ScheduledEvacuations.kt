package org.buckthornhub.evacuation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.coordination.ProxyView
import org.buckthornhub.fleet.ZoneId

/** Follows the orders in [view] by [schedule]. */
internal class ScheduledEvacuations(
    private val view: StateFlow<ProxyView>,
    private val schedule: EvacuationSchedule,
    private val clock: Clock,
) : ZoneEvacuations {
    override fun stageOf(zone: ZoneId): EvacuationStage =
        ageMillis(view.value, zone)?.let { schedule.stageAt(it) } ?: EvacuationStage.SERVING

    override fun watch(scope: CoroutineScope, zone: ZoneId, stage: EvacuationStage): Job = scope.launch {
        while (stageOf(zone) < stage) {
            val since = view.value.evacuatedSince[zone]
            val waitMillis = ageMillis(view.value, zone)?.let { (schedule.startOf(stage) - it).coerceAtLeast(1) } ?: Long.MAX_VALUE
            withTimeoutOrNull(waitMillis) { view.first { it.evacuatedSince[zone] != since } }
        }
    }

    private fun ageMillis(view: ProxyView, zone: ZoneId): Long? =
        view.evacuatedSince[zone]?.ageMillis(clock.nowMillis(), clock.wallMillis())
}
