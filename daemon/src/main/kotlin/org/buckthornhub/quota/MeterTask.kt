package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.task.Task
import org.buckthornhub.task.startTicker

/** Holds each organisation to this daemon's part of its limit, and measures what it asks for. */
internal class MeterTask(private val clock: Clock) :
    Task<MeterMessage>("meter"),
    StateSource<DemandReport> {
    private var meters: PersistentMap<OrganisationId, MeterState> = persistentMapOf()
    private var asked: PersistentMap<OrganisationId, Int> = persistentMapOf()
    private var demand: PersistentMap<OrganisationId, Double> = persistentMapOf()
    private val published = MutableStateFlow(DemandReport())

    /** What this daemon was lately asked for. */
    override fun current(): DemandReport = published.value

    /** Null if the operation may run, else the ms after which to ask again. */
    suspend fun admit(organisation: OrganisationId, rate: MeterRate): Long? {
        val answer = CompletableDeferred<Long?>()
        if (!offer(MeterMessage.Ask(organisation, rate, answer))) return OVERLOADED_MILLIS
        return answer.await()
    }

    override suspend fun onStart(scope: CoroutineScope) {
        scope.startTicker(this, TICK_MILLIS, MeterMessage.Tick)
    }

    override suspend fun handle(message: MeterMessage): Unit = when (message) {
        is MeterMessage.Ask -> ask(message)
        is MeterMessage.Tick -> tick()
    }

    private fun ask(message: MeterMessage.Ask) {
        val organisation = message.organisation
        asked = asked.put(organisation, (asked[organisation] ?: 0) + 1)
        val filled = message.rate.refill(meters[organisation], clock.nowMillis())
        val isAdmitted = filled.tokens >= 1
        meters = meters.put(organisation, if (isAdmitted) filled.copy(tokens = filled.tokens - 1) else filled)
        message.answer.complete(if (isAdmitted) null else message.rate.retryAfterMillis(filled))
    }

    private fun tick() {
        demand = (demand.keys + asked.keys).fold(demand) { map, organisation ->
            val latest = (asked[organisation] ?: 0) * TICKS_PER_SECOND
            val known = map[organisation] ?: 0.0
            val weight = if (latest > known) RISE else FALL
            val smoothed = known * (1 - weight) + latest * weight
            if (smoothed < NEGLIGIBLE) map.remove(organisation) else map.put(organisation, smoothed)
        }
        asked = persistentMapOf()
        published.value = DemandReport(demand)
    }

    private companion object {
        const val TICK_MILLIS = 250L
        const val TICKS_PER_SECOND = 4.0

        /** Weight of a quarter of a second with more than before: half a second until demand has mostly followed. */
        const val RISE = 0.5

        /** Weight of one with less: callers come unevenly, so a gap of some seconds takes little away. */
        const val FALL = 0.05
        const val NEGLIGIBLE = 0.01
        const val OVERLOADED_MILLIS = 1_000L
    }
}
