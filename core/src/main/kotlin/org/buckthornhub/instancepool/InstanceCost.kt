package org.buckthornhub.instancepool

import org.buckthornhub.group.Position
import org.buckthornhub.horizon.CommitHorizon
import org.buckthornhub.target.TargetRole

/** Estimates what a statement would wait at an instance, in ms, so that the cheapest one is taken. */
internal class InstanceCost(private val settings: PoolSettings) {
    /** Null if [instance] can't serve [want] at all. */
    fun of(instance: PoolInstance, want: ConnectionWant, limit: Int, nowMillis: Long): Double? {
        val isUsable = instance.record.group == want.group && instance.record.target !in want.excluded
        if (!isUsable || !meets(instance, want.need, nowMillis)) return null
        return connectionCost(instance, want, limit, nowMillis)?.let { it + placeCost(instance, want, nowMillis) }
    }

    fun leads(instance: PoolInstance, nowMillis: Long): Boolean {
        val leaving = instance.leavingSinceMillis
        val isStaying = leaving == null || nowMillis - leaving < settings.leaderDrainMillis
        return instance.record.role == TargetRole.PRIMARY && !instance.isDemoted && isStaying
    }

    private fun meets(instance: PoolInstance, need: ConnectionNeed, nowMillis: Long): Boolean = when (need) {
        is ConnectionNeed.Leader -> leads(instance, nowMillis)
        is ConnectionNeed.AtLeast -> leads(instance, nowMillis) ||
            instance.leavingSinceMillis == null &&
            mayHold(instance, need.floor, nowMillis)
    }

    // What was seen some time ago says little about a replica that catches up meanwhile.
    private fun mayHold(instance: PoolInstance, floor: Position, nowMillis: Long): Boolean {
        val applied = instance.applied ?: return true
        return CommitHorizon.compare(applied, floor) >= 0 || nowMillis - instance.appliedAtMillis > RETRY_BEHIND_MILLIS
    }

    private fun connectionCost(instance: PoolInstance, want: ConnectionWant, limit: Int, nowMillis: Long): Double? {
        val mayOpen = nowMillis >= instance.retryAtMillis && (instance.size < limit || instance.idle.isNotEmpty())
        return when {
            instance.openFor(want) != null -> 0.0
            mayOpen -> CONNECT_MILLIS
            else -> null
        }
    }

    private fun placeCost(instance: PoolInstance, want: ConnectionWant, nowMillis: Long): Double {
        val distance = if (instance.record.zone == settings.zone) 0.0 else ZONE_MILLIS
        val role = if (leads(instance, nowMillis) && want.need is ConnectionNeed.AtLeast) LEADER_MILLIS else 0.0
        val unknown = if (instance.applied == null) UNKNOWN_MILLIS else 0.0
        return distance + role + unknown + instance.lent.size * BUSY_MILLIS
    }

    private companion object {
        /** A new connection: 12 ms and two round trips. */
        const val CONNECT_MILLIS = 14.0

        /** A round trip to another availability zone. */
        const val ZONE_MILLIS = 2.0

        /** Leaves the leader to those that need it. */
        const val LEADER_MILLIS = 6.0

        /** An instance of unknown position may have to be left for another one. */
        const val UNKNOWN_MILLIS = 2.0

        /** A statement takes some 18 ms, and an instance serves 3 at a time. */
        const val BUSY_MILLIS = 6.0

        /** A replica that was behind is tried again after this time; a tenth of the shortest age that routes allow. */
        const val RETRY_BEHIND_MILLIS = 150L
    }
}
