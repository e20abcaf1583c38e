package org.buckthornhub.routing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.task.DeciderTask

/** Owns the replication position hints of this daemon's router. */
internal class PositionTask(
    clock: Clock,
    private val view: StateSource<FleetView>,
) : DeciderTask<PositionHints, PositionMessage, Nothing>("positions", PositionDecider(), PositionHints(), clock),
    PositionHintSource {
    override fun observe(message: PositionMessage) {
        // Hints are best effort: some are lost when the mailbox is full.
        offer(message)
    }

    override suspend fun onStart(scope: CoroutineScope) {
        scope.launch { announce() }
    }

    override suspend fun carryOut(effect: Nothing): Unit = effect

    private suspend fun announce() {
        while (true) {
            delay(PERIOD_MILLIS)
            offer(PositionMessage.Announced(view.current()))
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 100L
    }
}
