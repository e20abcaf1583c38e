package org.buckthornhub.replication

import org.buckthornhub.fleet.ZoneId

/**
 * Replication progress of a follower or learner, as tracked by the leader.
 *
 * @property catchUpIndex index that a learner must reach before it may become a member; null for members
 * @property lastContactMillis local time at which its last answer arrived; 0 if none has
 * @property zone its availability zone; null if it has not told it
 * @property echo echo of the follower that awaits confirmation, or the newest one if it has been confirmed
 * @property echoRound first broadcast after [echo] was received
 * @property sentIndex last entry of a large message that may still be on its way until [sentUntilMillis] (local monotonic ms)
 * @property confirmedEcho newest echo after which a majority confirmed the leader
 */
public data class Progress(
    val nextIndex: Long,
    val matchIndex: Long = 0,
    val ackedRound: Long = 0,
    val catchUpIndex: Long? = null,
    val lastContactMillis: Long = 0,
    val zone: ZoneId? = null,
    val echo: Echo? = null,
    val echoRound: Long = 0,
    val confirmedEcho: Echo? = null,
    val sentIndex: Long = 0,
    val sentUntilMillis: Long = 0,
)
