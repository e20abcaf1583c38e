package org.buckthornhub.instancepool

import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.target.TargetRole

/** Decides which instances may serve a request at all, whatever their load: role, position, and connections. */
internal class InstanceEligibility(private val settings: PoolSettings) {
    /** Returns whether [instance] has the role and the position for [request]. */
    fun isEligible(instance: PoolInstance, request: ConnectionRequest, nowMillis: Long): Boolean {
        val isUsable = instance.record.group == request.group && instance.record.target !in request.excluded
        return isUsable && meets(instance, request.requirement, nowMillis)
    }

    /** Returns the time in ms until a connection to [instance] is available, or null if none may be used or opened now. */
    fun connectionCost(instance: PoolInstance, request: ConnectionRequest, limit: Int, nowMillis: Long): Double? {
        val mayOpen = nowMillis >= instance.retryAtMillis && (instance.size < limit || instance.idle.isNotEmpty())
        return when {
            instance.idleConnectionFor(request) != null -> 0.0
            mayOpen -> CONNECT_MILLIS
            else -> null
        }
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

    private companion object {
        /** Time to open a connection: 12 ms at the instance and two round trips. */
        const val CONNECT_MILLIS = 14.0

        /** A replica that was behind is tried again after this time: a tenth of the shortest staleness bound that routes allow. */
        const val BEHIND_RETRY_MILLIS = 150L
    }
}
