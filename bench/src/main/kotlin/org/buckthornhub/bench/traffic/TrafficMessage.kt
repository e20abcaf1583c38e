package org.buckthornhub.bench.traffic

import kotlinx.coroutines.CompletableDeferred

/** What the task that counts traffic is told. */
internal sealed interface TrafficMessage {
    /** One exchange is over. */
    data class Carried(val count: TrafficCount) : TrafficMessage

    /** Asks for the sum so far. */
    data class Read(val reply: CompletableDeferred<TrafficCount>) : TrafficMessage
}
