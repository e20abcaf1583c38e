package org.buckthornhub.quota

/** How a daemon uses the reserve: what it draws ahead, when it asks again, and what it admits without the reserve. */
public interface ReserveUse {
    /** Returns the number of tokens to request for operations that have not arrived yet. */
    public fun prefetch(limiter: OrganisationLimiter, nowMillis: Long): Int

    /** Returns when to request again after a short answer that announced the next token in [retryAfterMillis]. */
    public fun nextRequestMillis(retryAfterMillis: Long, nowMillis: Long): Long

    /** Returns [limiter] after one operation that is admitted without the reserve; null if none may be. */
    public fun withFallbackSpent(limiter: OrganisationLimiter, nowMillis: Long): OrganisationLimiter?

    /** Returns whether the reserve has run low so recently that the organisation may have used its burst in the present window. */
    public fun isInFlood(limiter: OrganisationLimiter, nowMillis: Long): Boolean

    /** Returns the number of tokens to return to the reserve because they would expire unused. */
    public fun returned(limiter: OrganisationLimiter, nowMillis: Long): Int

    /** Returns the time in ms after which to retry where neither the bucket nor the reserve announced a token. */
    public fun unannouncedMillis(limiter: OrganisationLimiter): Long
}
