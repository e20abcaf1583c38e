package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId

/**
 * Divides a limit between the daemons and the reserve of the control leader, by the size of the fleet.
 *
 * Answers the load of a large fleet with many small organisations: a share of some operations a second, divided among a hundred
 * daemons, is less than one operation each, so that callers were refused far below their limit. There the reserve holds the whole
 * limit and each operation asks for its token. `LimitSplitTest` compares both divisions.
 */
public object LimitDivision {
    /** Up to this number of daemons, each of them has a share of its own. */
    public const val SPLIT_UP_TO: Int = 16

    /** Fraction of the limit in the reserve of a small fleet; a larger one leaves too little to daemons without a leader. */
    private const val SPLIT_RESERVE = 0.4

    /** Time for which the fleet may go on at the full rate without a leader; in s. */
    private const val FALLBACK_SECONDS = 2.0

    /** Window over which operators check limits; in s. */
    private const val WINDOW_SECONDS = 5.0

    /**
     * Fraction of the burst for an organisation that was not low; less than [NOT_LOW], as daemons hear of a flood late.
     *
     * None of 2,000 random schedules of `FloodReplayTest` exceeds the quota with it.
     */
    private const val SPARE_BURST = 0.65

    /** Less than the election timeout, in which a fleet that has lost its leader is issued no tokens; in s. */
    private const val LEADERLESS_SECONDS = 0.6

    /** Fraction of the burst below which the reserve of an organisation is low; usual demand uses a token or two at a time. */
    public const val NOT_LOW: Double = 0.75

    /** Fraction of the tolerated operations that a fleet without a leader may use. */
    private const val FALLBACK_TOLERANCE = 0.75

    /** Returns the fraction of each limit that the leader of a fleet of [daemons] keeps in its reserve. */
    public fun reserveFraction(daemons: Int): Double = if (daemons <= SPLIT_UP_TO) SPLIT_RESERVE else 1.0

    /**
     * Returns the number of operations of [organisation] that the daemon with [rank] may admit in a window while it can't reach
     * the reserve.
     *
     * Over all daemons they add up to [FALLBACK_SECONDS] at the full rate and a part of the tolerated operations. A window then
     * stays within what operators tolerate if no daemon reaches the reserve, whose successor starts empty, or if a third of them
     * does not; beyond that only organisations of up to some 30 operations a second stay within it under a flood. A remainder falls
     * to other daemons for each organisation.
     */
    public fun fallbackTokens(organisation: OrganisationId, limit: BucketRate, tolerance: LimitTolerance, rank: Int, daemons: Int): Int {
        if (daemons <= SPLIT_UP_TO) return 0
        val tolerated = tolerance.operations * FALLBACK_TOLERANCE
        val total = if (tolerated > 0) (tolerated + limit.ratePerSecond * FALLBACK_SECONDS).toInt() else 0
        return partOf(total, organisation, rank, daemons)
    }

    /**
     * Returns the operations that a daemon may admit in a window while it can't reach the reserve, by what it last heard of the
     * organisation, and [fallbackTokens] as the number where that isn't considered.
     *
     * A window with a change of leader holds the rate and what the bucket had at its begin. So in a flood only the tolerated overrun, a
     * tenth of both, may be admitted besides. An organisation that was not low has more than [NOT_LOW] of its burst left, and gets
     * [SPARE_BURST] of it and the rate while nobody issues tokens ([LEADERLESS_SECONDS]).
     */
    public fun fallback(
        organisation: OrganisationId,
        limit: BucketRate,
        tolerance: LimitTolerance,
        rank: Int,
        daemons: Int,
    ): FallbackTokens {
        val fixed = fallbackTokens(organisation, limit, tolerance, rank, daemons)
        if (fixed == 0) return FallbackTokens()
        val overrun = (limit.ratePerSecond * WINDOW_SECONDS + limit.burst) * tolerance.burstFraction
        val inFlood = overrun + tolerance.operations * FALLBACK_TOLERANCE
        val spare = limit.burst * SPARE_BURST + limit.ratePerSecond * LEADERLESS_SECONDS
        return FallbackTokens(
            fixed,
            usual = minOf(fixed, partOf((inFlood + spare).toInt(), organisation, rank, daemons)),
            inFlood = minOf(fixed, partOf(inFlood.toInt(), organisation, rank, daemons)),
        )
    }

    private fun partOf(total: Int, organisation: OrganisationId, rank: Int, daemons: Int): Int {
        val isInRemainder = Math.floorMod(rank - organisation.value.hashCode(), daemons) < total % daemons
        return total / daemons + if (isInRemainder) 1 else 0
    }
}
