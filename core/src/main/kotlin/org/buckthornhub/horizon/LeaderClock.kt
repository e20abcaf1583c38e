package org.buckthornhub.horizon

/**
 * Reading of the control leader's monotonic clock, to compare times with those of this daemon's clock.
 *
 * @property controlTerm term of the leader
 * @property leaderMillis the leader's clock when it answered
 * @property earliestMillis a time of this daemon's clock before the answer was made
 * @property latestMillis a time of this daemon's clock after the answer was made
 */
public data class LeaderClock(
    val controlTerm: Long,
    val leaderMillis: Long,
    val earliestMillis: Long,
    val latestMillis: Long,
) {
    /** Returns a time on the leader's clock that is not after [localMillis] of this daemon's clock. */
    public fun toLeader(localMillis: Long): Long = leaderMillis + localMillis - latestMillis

    /** Returns a time on this daemon's clock that is not after [millis] of the leader's clock. */
    public fun toLocal(millis: Long): Long = earliestMillis + millis - leaderMillis
}
