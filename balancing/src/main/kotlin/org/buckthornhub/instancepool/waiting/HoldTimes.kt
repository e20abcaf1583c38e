package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.instancepool.ConnectionId
import kotlin.math.exp

/** Measured times for which connections are held, from check-out to release. */
public data class HoldTimes(
    val held: PersistentMap<ConnectionId, HeldConnection> = persistentMapOf(),
    val usual: PersistentMap<HoldKind, UsualHold> = persistentMapOf(),
) {
    /** Returns the usual time of [kind] in ms; null if nothing was measured recently. */
    public fun usualMillis(kind: HoldKind, nowMillis: Long): Double? =
        usual[kind]?.takeIf { nowMillis - it.updatedMillis <= FORGET_MILLIS }?.millis

    /** Returns the usual time of [kind] in ms, or [UNMEASURED_MILLIS] where nothing was measured recently. */
    public fun costMillis(kind: HoldKind, nowMillis: Long): Double = usualMillis(kind, nowMillis) ?: UNMEASURED_MILLIS

    internal fun checkedOut(connection: ConnectionId, use: HeldConnection): HoldTimes = copy(held = held.put(connection, use))

    /** @param isMeasured false if the instance did not answer: that wait says nothing about usual statements */
    internal fun released(connection: ConnectionId, isMeasured: Boolean, nowMillis: Long): HoldTimes {
        val use = held[connection] ?: return this
        val free = copy(held = held.remove(connection))
        if (!isMeasured) return free
        val tookMillis = (nowMillis - use.sinceMillis).toDouble()
        val known = usualMillis(use.kind, nowMillis)
        val sinceUpdate = nowMillis - (usual[use.kind]?.updatedMillis ?: 0)
        val weight = maxOf(MIN_WEIGHT, 1 - exp(-sinceUpdate / MEMORY_MILLIS))
        val next = if (known == null) tookMillis else known + weight * (tookMillis - known)
        return free.copy(usual = usual.put(use.kind, UsualHold(next, nowMillis)))
    }

    public companion object {
        /** Cost of a statement while nothing was measured; used for order alone, never for a refusal. */
        public const val UNMEASURED_MILLIS: Double = 20.0

        /** Time constant of the average: load changes within seconds. */
        private const val MEMORY_MILLIS = 2_000.0

        /** Smallest weight of one sample. */
        private const val MIN_WEIGHT = 0.125

        /** A measurement older than this says nothing about the present load. */
        private const val FORGET_MILLIS = 10_000L
    }
}
