package org.buckthornhub.replication

/**
 * How far a follower is, as its leader knows.
 *
 * @property learnerTarget commit index that a newcomer has to reach before it may become a member; null for members
 * @property heardMillis when its last answer came; 0 if none did
 * @property echo newest echo of the follower, and [echoRound] the first broadcast after it
 * @property confirmedEcho newest echo that a majority confirmed the leader after
 */
public data class Progress(
    val nextIndex: Long,
    val matchIndex: Long = 0,
    val ackedRound: Long = 0,
    val learnerTarget: Long? = null,
    val heardMillis: Long = 0,
    val echo: Long? = null,
    val echoRound: Long = 0,
    val confirmedEcho: Long? = null,
)
