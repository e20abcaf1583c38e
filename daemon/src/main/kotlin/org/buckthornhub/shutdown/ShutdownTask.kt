package org.buckthornhub.shutdown

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.task.DeciderTask
import org.buckthornhub.task.startTicker

/**
 * Stops this daemon as planned, and counts the requests in flight.
 *
 * @param early steps before the last request, in their order
 * @param late steps after it
 */
internal class ShutdownTask(
    private val timing: ShutdownTiming,
    private val early: List<HandoverStep>,
    private val late: List<HandoverStep>,
    clock: Clock,
) : DeciderTask<ShutdownState, ShutdownMessage, ShutdownEffect>("shutdown", ShutdownDecider(timing), ShutdownState(), clock) {
    private val stopped = CompletableDeferred<Unit>()
    private lateinit var scope: CoroutineScope

    /** Begins the stop and returns once the process may end. */
    suspend fun leave() {
        offer(ShutdownMessage.Begin)
        stopped.await()
    }

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun carryOut(effect: ShutdownEffect) {
        when (effect) {
            is ShutdownEffect.HandOverEarly -> {
                scope.startTicker(this, TICK_MILLIS, ShutdownMessage.Tick)
                scope.launch { run(early, ShutdownMessage.EarlyHandoverEnded) }
            }
            is ShutdownEffect.HandOverLate -> scope.launch { run(late, ShutdownMessage.LateHandoverEnded) }
            is ShutdownEffect.Stop -> stopped.complete(Unit)
        }
    }

    private suspend fun run(steps: List<HandoverStep>, ended: ShutdownMessage) {
        val done = withTimeoutOrNull(timing.handoverMillis) { steps.forEach { it.handOver() } }
        if (done == null) logger.warn { "handing over took longer than ${timing.handoverMillis} ms; the rest expires by itself" }
        offer(ended)
    }

    private companion object {
        const val TICK_MILLIS = 50L
        val logger = KotlinLogging.logger {}
    }
}
