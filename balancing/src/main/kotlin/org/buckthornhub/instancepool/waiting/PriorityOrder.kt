package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest

/** Order by the priority of the route, then by arrival. */
public data object PriorityOrder : WaitingOrder {
    override fun tiers(
        waiting: List<PendingConnectionRequest>,
        progress: ServiceProgress,
        costOf: (PendingConnectionRequest) -> Double,
    ): List<ServiceTier> = listOf(ServiceTier(waiting.sortedBy { it.request.priority }))

    override fun afterService(
        progress: ServiceProgress,
        served: PendingConnectionRequest,
        left: List<PendingConnectionRequest>,
        costMillis: Double,
    ): ServiceProgress = progress
}
