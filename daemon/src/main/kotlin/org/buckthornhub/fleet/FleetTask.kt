package org.buckthornhub.fleet

import org.buckthornhub.clock.Clock
import org.buckthornhub.task.DeciderTask

/** Owns this daemon's view of the fleet. */
public class FleetTask(clock: Clock) : DeciderTask<FleetView, FleetMessage, Nothing>("fleet", FleetDecider(), FleetView(), clock) {
    override suspend fun carryOut(effect: Nothing): Unit = Unit
}
