package org.buckthornhub.quota

/**
 * Announces each future token once, as long as a refused caller can still use it.
 *
 * Answers the load of one organisation far beyond its rate: the announced times grew past the deadlines of all callers, also of those
 * for which a token was free. Callers beyond [USABLE_MILLIS] take no place in the schedule and are told the longest time, because all
 * tokens within their deadline are announced to others.
 */
public object UsableReturns : ReturnSchedule {
    override fun announce(lastMillis: Long, tokenMillis: Long, spacingMillis: Long, count: Int, nowMillis: Long): AnnouncedReturns {
        val first = maxOf(tokenMillis, lastMillis + spacingMillis)
        val horizon = maxOf(nowMillis + USABLE_MILLIS, tokenMillis)
        if (first > horizon) return AnnouncedReturns(nowMillis + BucketRate.MAX_RETRY_AFTER_MILLIS, spacingMillis, lastMillis)
        return AnnouncedReturns(first, spacingMillis, minOf(first + (count - 1) * spacingMillis, horizon))
    }

    /**
     * Longest time after which a token is still of use, in ms: the shortest deadline (4 s) less the time that a statement takes.
     *
     * With 2 s, 1 % fewer operations were served in the replay of three times the usual load.
     */
    public const val USABLE_MILLIS: Long = 3_500
}
