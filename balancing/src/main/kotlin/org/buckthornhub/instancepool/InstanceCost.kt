package org.buckthornhub.instancepool

import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.target.TargetRole

/** Estimates how long a statement would wait at an instance, in ms, so that the pool can choose the cheapest instance. */
internal class InstanceCost(private val settings: PoolSettings) {
    /** Returns null if [instance] can't serve [request] at all. */
    fun of(instance: PoolInstance, request: ConnectionRequest, limit: Int, nowMillis: Long): Double? {
        val isUsable = instance.record.group == request.group && instance.record.target !in request.excluded
        if (!isUsable || !meets(instance, request.requirement, nowMillis)) return null
        return connectionCost(instance, request, limit, nowMillis)?.let { it + placementCost(instance, request, nowMillis) }
    }

    /**
     * Returns whether [instance] may serve [waiting] before its deadline: it has the right role, and a connection that may become
     * free or can still be opened.
     *
     * A primary that has just refused its role counts until it announces itself as a replica, as its successor announces itself
     * within a few ms.
     */
    fun mayServeUntil(instance: PoolInstance, waiting: PendingConnectionRequest, nowMillis: Long): Boolean {
        val request = waiting.request
        val hasJustRefused = instance.isDemoted && instance.record.role == TargetRole.PRIMARY
        val isPrimary = hasJustRefused || servesAsPrimary(instance, nowMillis)
        val hasRole = isPrimary || request.requirement is ConnectionRequirement.AtLeast && instance.leavingSinceMillis == null
        return hasRole &&
            instance.record.target !in request.excluded &&
            (instance.size > 0 || instance.retryAtMillis <= waiting.deadlineMillis)
    }

    fun servesAsPrimary(instance: PoolInstance, nowMillis: Long): Boolean {
        val leaving = instance.leavingSinceMillis
        val isStaying = leaving == null || nowMillis - leaving < settings.primaryDrainMillis
        return instance.record.role == TargetRole.PRIMARY && !instance.isDemoted && isStaying
    }

    private fun meets(instance: PoolInstance, requirement: ConnectionRequirement, nowMillis: Long): Boolean = when (requirement) {
        is ConnectionRequirement.Primary -> servesAsPrimary(instance, nowMillis)
        is ConnectionRequirement.AtLeast -> servesAsPrimary(instance, nowMillis) ||
            instance.leavingSinceMillis == null &&
            mayHaveApplied(instance, requirement.floor, nowMillis)
    }

    // A replica that was behind some time ago may have caught up since.
    private fun mayHaveApplied(instance: PoolInstance, floor: Position, nowMillis: Long): Boolean {
        val applied = instance.applied ?: return true
        return CommitTimeline.compare(applied, floor) >= 0 || nowMillis - instance.lastAnswerMillis > BEHIND_RETRY_MILLIS
    }

    private fun connectionCost(instance: PoolInstance, request: ConnectionRequest, limit: Int, nowMillis: Long): Double? {
        val mayOpen = nowMillis >= instance.retryAtMillis && (instance.size < limit || instance.idle.isNotEmpty())
        return when {
            instance.idleConnectionFor(request) != null -> 0.0
            mayOpen -> CONNECT_MILLIS
            else -> null
        }
    }

    private fun placementCost(instance: PoolInstance, request: ConnectionRequest, nowMillis: Long): Double {
        val distance = if (instance.record.zone == settings.zone) 0.0 else CROSS_ZONE_MILLIS
        val role = if (servesAsPrimary(instance, nowMillis) && request.requirement is ConnectionRequirement.AtLeast) PRIMARY_MILLIS else 0.0
        val unknown = if (instance.applied == null) UNKNOWN_POSITION_MILLIS else 0.0
        return distance + role + unknown + instance.inUse.size * IN_USE_MILLIS
    }

    private companion object {
        /** Time to open a connection: 12 ms at the instance and two round trips. */
        const val CONNECT_MILLIS = 14.0

        /** Round trip to another availability zone. */
        const val CROSS_ZONE_MILLIS = 2.0

        /** Penalty for reads on the primary, which keeps it free for requests that need it. */
        const val PRIMARY_MILLIS = 6.0

        /** Penalty for an instance of unknown position: the statement may have to move to another instance. */
        const val UNKNOWN_POSITION_MILLIS = 2.0

        /** Wait per connection in use: a statement takes about 18 ms, and an instance serves 3 at a time. */
        const val IN_USE_MILLIS = 6.0

        /** A replica that was behind is tried again after this time: a tenth of the shortest staleness bound that routes allow. */
        const val BEHIND_RETRY_MILLIS = 150L
    }
}
