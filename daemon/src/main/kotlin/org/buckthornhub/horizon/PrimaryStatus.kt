package org.buckthornhub.horizon

import org.buckthornhub.target.TargetId

/**
 * Known state of the primary of one group.
 *
 * @property primarySinceMillis local monotonic time since which [primary] has been known as the primary
 * @property isProbed whether this daemon asks the primary regularly
 * @property ownSample newest position that the primary gave to this daemon itself
 * @property isProbing true while a probe of the primary is in flight
 * @property isUnresponsive true if the primary neither answered the last probe nor anything else for some time
 */
internal data class PrimaryStatus(
    val timeline: CommitTimeline = CommitTimeline(),
    val primary: TargetId? = null,
    val primarySinceMillis: Long = 0,
    val isProbed: Boolean = false,
    val ownSample: CommitSample? = null,
    val isProbing: Boolean = false,
    val isUnresponsive: Boolean = false,
) {
    /** Time of the last answer of the primary to this daemon, or of its becoming known. */
    val lastAnswerMillis: Long get() = maxOf(ownSample?.askedMillis ?: 0, primarySinceMillis)
}
