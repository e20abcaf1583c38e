package org.buckthornhub.quota

/** Chooses the times at which refused callers of one organisation are told to return. */
public fun interface ReturnSchedule {
    /**
     * Returns the times for [count] callers.
     *
     * @param lastMillis last time that was announced before
     * @param tokenMillis time of the first token that the reserve does not hold yet
     * @param spacingMillis time between two tokens
     */
    public fun announce(lastMillis: Long, tokenMillis: Long, spacingMillis: Long, count: Int, nowMillis: Long): AnnouncedReturns
}
