package org.buckthornhub.instancepool

import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.target.TargetId

/** Orders the instances that may serve a request, so that the pool can choose the cheapest one. */
internal interface InstanceCost {
    /** Returns the cost of [instance] for [waiting], in ms; null if it can't serve it now. */
    fun of(state: PoolState, instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Double?

    /** Takes the results of statements at [target] into account. */
    fun sampled(state: PoolState, target: TargetId, samples: List<StatementSample>, nowMillis: Long): PoolState

    /** Adjusts what depends on time alone. */
    fun advanced(state: PoolState, nowMillis: Long): PoolState
}
