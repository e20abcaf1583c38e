package org.buckthornhub.horizon

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.group.Position

/** Recent commit positions of one group over time, sampled from the answers of its primary. Converts a data age into a position. */
public data class CommitHorizon(val samples: PersistentList<HorizonSample> = persistentListOf()) {
    /** Newest sample, or null if there is none. */
    public val newest: HorizonSample? get() = samples.lastOrNull()

    /** Adds a sample, unless it is out of order, and drops samples that are too old for every allowed data age. */
    public fun with(sample: HorizonSample): CommitHorizon {
        val last = newest
        if (last != null && (sample.askedMillis <= last.askedMillis || compare(sample.position, last.position) < 0)) return this
        // Of two samples close together only the newer one is kept.
        val isClose = samples.size > 1 && sample.askedMillis - samples[samples.size - 2].askedMillis < MIN_SPACING_MILLIS
        val kept = if (isClose) samples.removeAt(samples.size - 1) else samples
        return CommitHorizon(kept.add(sample).filter { it.askedMillis >= sample.askedMillis - RETENTION_MILLIS }.toPersistentList())
    }

    /**
     * Returns the position that data must contain to be at most [maxAgeMillis] old at [atMillis], or null if no sample is
     * recent enough. The oldest sample that is recent enough is used, because most replicas satisfy it.
     */
    public fun floorAt(atMillis: Long, maxAgeMillis: Long): Position? =
        samples.firstOrNull { it.askedMillis >= atMillis - maxAgeMillis }?.position

    /**
     * Returns the position that data must contain to be at most [maxAgeMillis] old at [atMillis] and to include [own], the
     * newest commit of the session. A sample of a newer term replaces [own].
     */
    public fun floorAt(atMillis: Long, maxAgeMillis: Long, own: Position?): Position? {
        val floor = floorAt(atMillis, maxAgeMillis) ?: return null
        if (own == null) return floor
        // A promotion may have discarded the commit; the first sample of a newer term covers it if it survived.
        val replaced = samples.firstOrNull { it.position.term > own.term }?.position
        val needed = replaced ?: own
        return if (compare(needed, floor) > 0) needed else floor
    }

    public companion object {
        /** Time for which samples are kept, in ms: longer than the greatest data age that routes allow in practice. */
        private const val RETENTION_MILLIS = 6_000L

        /** Minimum distance of samples, in ms: a tenth of the shortest data age that routes allow. */
        private const val MIN_SPACING_MILLIS = 100L

        /** Compares positions of one group: a newer term is greater, whatever its index. */
        public fun compare(a: Position, b: Position): Int = compareValuesBy(a, b, { it.term }, { it.index })
    }
}
