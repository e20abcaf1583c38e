package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest

/** Determines the order in which waiting statements get a connection. */
public interface WaitingOrder {
    /**
     * Returns [waiting], which is in the order of arrival, in tiers that are served one after the other.
     *
     * Each statement is in exactly one tier for which connections may be opened.
     *
     * @param costOf expected time in ms for which a statement holds its connection
     */
    public fun tiers(
        waiting: List<PendingConnectionRequest>,
        progress: ServiceProgress,
        costOf: (PendingConnectionRequest) -> Double,
    ): List<ServiceTier>

    /** Returns [progress] after [served] got a connection while the statements [left] still wait. */
    public fun afterService(
        progress: ServiceProgress,
        served: PendingConnectionRequest,
        left: List<PendingConnectionRequest>,
        costMillis: Double,
    ): ServiceProgress
}
