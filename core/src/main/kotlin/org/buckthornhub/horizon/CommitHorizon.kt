package org.buckthornhub.horizon

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.group.Position

/** What a daemon knows of the commits of one group, from the answers of the instance that led it. */
public data class CommitHorizon(val samples: PersistentList<HorizonSample> = persistentListOf()) {
    public val newest: HorizonSample? get() = samples.lastOrNull()

    /** Adds what the leader answered; keeps as much as the longest allowed age needs. */
    public fun with(sample: HorizonSample): CommitHorizon {
        val last = newest
        if (last != null && (sample.askedMillis <= last.askedMillis || compare(sample.position, last.position) < 0)) return this
        // Two samples close together tell no more than the newer one.
        val isClose = samples.size > 1 && sample.askedMillis - samples[samples.size - 2].askedMillis < SPACING_MILLIS
        val kept = if (isClose) samples.removeAt(samples.size - 1) else samples
        return CommitHorizon(kept.add(sample).filter { it.askedMillis >= sample.askedMillis - KEPT_MILLIS }.toPersistentList())
    }

    /**
     * The position that data has to contain in order to be at most [maxAgeMillis] old at [atMillis]; null if that is not known.
     * The oldest sample that will do asks the least of replicas.
     */
    public fun floorAt(atMillis: Long, maxAgeMillis: Long): Position? =
        samples.firstOrNull { it.askedMillis >= atMillis - maxAgeMillis }?.position

    /** [floorAt], and the newest commit of the session, [own], unless a later sample of the leader stands for it. */
    public fun floorAt(atMillis: Long, maxAgeMillis: Long, own: Position?): Position? {
        val floor = floorAt(atMillis, maxAgeMillis) ?: return null
        if (own == null) return floor
        // A promotion may have dropped the commit; then only a newer sample tells what to wait for.
        val replaced = samples.firstOrNull { it.position.term > own.term }?.position
        val needed = replaced ?: own
        return if (compare(needed, floor) > 0) needed else floor
    }

    public companion object {
        /** Samples are kept for the longest age that routes allow in practice, and some more; in ms. */
        private const val KEPT_MILLIS = 6_000L

        /** Closer samples are thinned out: a tenth of the shortest age that routes allow, in ms. */
        private const val SPACING_MILLIS = 100L

        /** Orders positions of one group: a newer term is later, whatever its index. */
        public fun compare(a: Position, b: Position): Int = compareValuesBy(a, b, { it.term }, { it.index })
    }
}
