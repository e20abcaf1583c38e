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
 * Shuts this daemon down gracefully, and counts the in-flight requests.
 *
 * @param early handover steps before the last request, in order
 * @param late handover steps after the last request, in order
 */
internal class ShutdownTask(
    private val timing: ShutdownTiming,
    private val early: List<HandoverStep>,
    private val late: List<HandoverStep>,
    clock: Clock,
) : DeciderTask<ShutdownState, ShutdownMessage, ShutdownEffect>("shutdown", ShutdownDecider(timing), ShutdownState(), clock) {
    private val stopped = CompletableDeferred<Unit>()
    private lateinit var scope: CoroutineScope

    /** Starts the shutdown and returns once the process may exit. */
    suspend fun shutDown() {
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
        if (done == null) logger.warn { "handover exceeded ${timing.handoverMillis} ms; what is left expires on its own" }
        offer(ended)
    }

    private companion object {
        const val TICK_MILLIS = 50L
        val logger = KotlinLogging.logger {}
    }
}
