package org.buckthornhub.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.organisation.OrganisationId

/**
 * Fraction of each organisation's limit that the control leader reserves for daemons that have used up their own share.
 *
 * It starts empty, because an earlier leader may just have granted all of its reserve; only the first leader of a new quorum knows that
 * there was none.
 *
 * @property announcedMillis time of the last future token that a daemon was told of, by organisation
 * @property startedMillis time from which it refills (local monotonic ms)
 * @property returns chooses the times that refused callers are told
 * @property isFirst whether no tokens can have been granted before [startedMillis]
 */
public data class TokenReserve(
    val startedMillis: Long,
    val buckets: PersistentMap<OrganisationId, BucketState> = persistentMapOf(),
    val announcedMillis: PersistentMap<OrganisationId, Long> = persistentMapOf(),
    val returns: ReturnSchedule = SequentialReturns,
    val isFirst: Boolean = false,
) {
    /**
     * Withdraws up to [wanted] tokens of [organisation] from a reserve that refills at [rate].
     *
     * For each token that is missing, the time of a future one is announced, so that callers that are told to come back return one
     * by one, as tokens appear, and not together.
     *
     * @param startTokens tokens that the organisation had at [startedMillis]
     */
    public fun withdraw(
        organisation: OrganisationId,
        wanted: Int,
        rate: BucketRate,
        nowMillis: Long,
        startTokens: Double = 0.0,
    ): ReserveWithdrawal {
        val filled = rate.refill(buckets[organisation] ?: BucketState(startTokens, startedMillis), nowMillis)
        val tokens = minOf(filled.tokens.toInt(), wanted).coerceAtLeast(0)
        val left = filled.copy(tokens = filled.tokens - tokens)
        val next = copy(buckets = buckets.put(organisation, left))
        val isLow = left.tokens < rate.burst * LimitDivision.NOT_LOW
        if (tokens >= wanted) return ReserveWithdrawal(next, tokens, isLow = isLow)
        val tokenMillis = nowMillis + rate.retryAfterMillis(left)
        val announced = returns.announce(announcedMillis[organisation] ?: 0, tokenMillis, rate.tokenMillis, wanted - tokens, nowMillis)
        return ReserveWithdrawal(
            next.copy(announcedMillis = announcedMillis.put(organisation, announced.lastMillis)),
            tokens,
            announced.firstMillis - nowMillis,
            announced.spacingMillis,
            isLow,
        )
    }

    /** Puts back [tokens] that a daemon has drawn and not used; a reserve that never granted any of [organisation] ignores them. */
    public fun deposit(organisation: OrganisationId, tokens: Int, rate: BucketRate, nowMillis: Long): TokenReserve {
        val known = buckets[organisation] ?: return this
        val filled = rate.refill(known, nowMillis)
        val next = filled.copy(tokens = minOf(filled.tokens + tokens, maxOf(rate.burst, 1.0)))
        return copy(buckets = buckets.put(organisation, next))
    }

    /**
     * Returns the tokens of an organisation with [limit] over the whole fleet at [startedMillis].
     *
     * While the fleet is still small, its daemons have a share of their own, whose burst they may have used; so even the first leader
     * starts only with the part that is in its reserve at every size.
     */
    public fun startTokens(limit: BucketRate): Double = if (isFirst) limit.burst * LimitDivision.reserveFraction(1) else 0.0

    public companion object {
        /**
         * Returns the reserve of the leader of [controlTerm].
         *
         * @param isFirstStart whether this VM was started to form a new quorum; then nobody led before the first term, because terms
         * start at 0 in a quorum that all its members have just formed, and a leader that restarts leads in a later term
         */
        public fun ofTerm(controlTerm: Long, startedMillis: Long, isFirstStart: Boolean, adaptsToLoad: Boolean): TokenReserve =
            TokenReserve(
                startedMillis,
                returns = if (adaptsToLoad) UsableReturns else SequentialReturns,
                isFirst = adaptsToLoad && isFirstStart && controlTerm == FIRST_TERM,
            )

        private const val FIRST_TERM = 1L
    }
}
