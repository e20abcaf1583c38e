package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.load.LeavingShare
import org.buckthornhub.target.TargetId
import kotlin.math.abs

/**
 * What was logged of the measured load, which decides what is logged next.
 *
 * @property shares share of each group in its newest line
 * @property loggedMillis time of that line
 * @property ejections ejections of each instance in its newest line
 */
internal data class LoadLogState(
    val shares: PersistentMap<GroupId, Double> = persistentMapOf(),
    val loggedMillis: PersistentMap<GroupId, Long> = persistentMapOf(),
    val ejections: PersistentMap<TargetId, Int> = persistentMapOf(),
) {
    /** Returns the groups whose share has changed by a tenth or to zero; each group at most once in [INTERVAL_MILLIS]. */
    fun changedShares(pool: PoolState, nowMillis: Long): Map<GroupId, LeavingShare> = pool.load.shares.filter { (group, known) ->
        val logged = shares[group] ?: 0.0
        val isChanged = abs(known.share - logged) >= LOGGED_CHANGE || known.share == 0.0 && logged > 0
        isChanged && nowMillis - (loggedMillis[group] ?: Long.MIN_VALUE / 2) >= INTERVAL_MILLIS
    }

    /** Returns the instances that were ejected since their newest line. */
    fun ejected(pool: PoolState): List<PoolInstance> =
        pool.instances.values.filter { it.load.outlier.ejections > (ejections[it.record.target] ?: 0) }

    fun logged(changed: Map<GroupId, LeavingShare>, pool: PoolState, nowMillis: Long): LoadLogState = LoadLogState(
        changed.entries.fold(shares) { map, (group, share) -> map.put(group, share.share) },
        changed.keys.fold(loggedMillis) { map, group -> map.put(group, nowMillis) },
        pool.instances.values.fold(persistentMapOf()) { map, instance ->
            map.put(instance.record.target, instance.load.outlier.ejections)
        },
    )

    internal companion object {
        /** Bounds the lines of a share that swings. */
        const val INTERVAL_MILLIS = 2_000L
        private const val LOGGED_CHANGE = 0.1
    }
}
