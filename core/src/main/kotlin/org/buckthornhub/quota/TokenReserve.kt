package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * The part of each organisation's limit that the control leader keeps back, for daemons that have used up their own part.
 *
 * It starts empty, as an earlier leader may just have given all of its own away.
 *
 * @property openedMillis when it began to fill (local monotonic ms)
 */
public data class TokenReserve(
    val openedMillis: Long,
    val meters: PersistentMap<OrganisationId, MeterState> = persistentMapOf(),
) {
    /** Takes up to [wanted] tokens of [organisation], whose whole limit is [limit]. */
    public fun draw(organisation: OrganisationId, wanted: Int, limit: MeterRate, nowMillis: Long): ReserveDraw {
        val filled = limit.part(PART).refill(meters[organisation] ?: MeterState(0.0, openedMillis), nowMillis)
        val tokens = minOf(filled.tokens.toInt(), wanted).coerceAtLeast(0)
        return ReserveDraw(copy(meters = meters.put(organisation, filled.copy(tokens = filled.tokens - tokens))), tokens)
    }

    public companion object {
        /**
         * Daemons divide the rest, which they may use without asking.
         *
         * More would leave a fleet without a leader too little, less would not carry callers who move between daemons;
         * `LimitSplitTest` plays both.
         */
        public const val PART: Double = 0.4
    }
}
