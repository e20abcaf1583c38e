package org.buckthornhub.quota

/** Announces each future token once, for up to [BucketRate.MAX_RETRY_AFTER_MILLIS]. */
public object SequentialReturns : ReturnSchedule {
    override fun announce(lastMillis: Long, tokenMillis: Long, spacingMillis: Long, count: Int, nowMillis: Long): AnnouncedReturns {
        val spacing = spacingMillis
        val first = maxOf(tokenMillis, lastMillis + spacing)
        val latest = nowMillis + BucketRate.MAX_RETRY_AFTER_MILLIS
        return AnnouncedReturns(first.coerceAtMost(latest), spacing, (first + (count - 1) * spacing).coerceAtMost(latest))
    }
}
