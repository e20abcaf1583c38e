package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What no instance can serve at present, such as while a primary is being replaced, and how long such outages usually take.
 *
 * @property sinceMillis local monotonic time at which a statement first found no instance
 */
public data class Outages(
    val sinceMillis: PersistentMap<HoldKind, Long> = persistentMapOf(),
    val usualMillis: Double = DEFAULT_PROMOTION_MILLIS,
) {
    internal fun began(kind: HoldKind, nowMillis: Long): Outages =
        if (kind in sinceMillis) this else copy(sinceMillis = sinceMillis.put(kind, nowMillis))

    internal fun ended(kind: HoldKind, nowMillis: Long): Outages {
        val since = sinceMillis[kind] ?: return this
        val next = usualMillis + SAMPLE_WEIGHT * (nowMillis - since - usualMillis)
        return Outages(sinceMillis.remove(kind), next.coerceIn(MIN_USUAL_MILLIS, MAX_USUAL_MILLIS))
    }

    internal fun remainingMillis(kind: HoldKind, nowMillis: Long): Long =
        remainingMillis(nowMillis - (sinceMillis[kind] ?: nowMillis), usualMillis)

    public companion object {
        /** A promotion takes a few hundred ms; used until one was measured. */
        private const val DEFAULT_PROMOTION_MILLIS = 500.0

        /** One promotion that took unusually long must not decide alone. */
        private const val SAMPLE_WEIGHT = 0.5
        private const val MIN_USUAL_MILLIS = 50.0
        private const val MAX_USUAL_MILLIS = 10_000.0

        /**
         * Returns the expected rest of an outage that began [elapsedMillis] ago and usually takes [usualMillis].
         *
         * An outage that takes longer than usual is expected to go on for half of the time that it has taken.
         */
        public fun remainingMillis(elapsedMillis: Long, usualMillis: Double): Long =
            maxOf(usualMillis.toLong() - elapsedMillis, elapsedMillis / 2)
    }
}
