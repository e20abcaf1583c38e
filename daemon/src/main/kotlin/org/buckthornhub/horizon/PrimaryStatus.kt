package org.buckthornhub.horizon

import org.buckthornhub.target.TargetId

/**
 * Known state of the primary of one group.
 *
 * @property primarySinceMillis local monotonic time since which [primary] has been known as the primary
 * @property isProbing true while a probe of the primary is in flight
 * @property isUnresponsive true if the primary neither answered the last probe nor anything else for some time
 */
internal data class PrimaryStatus(
    val timeline: CommitTimeline = CommitTimeline(),
    val primary: TargetId? = null,
    val primarySinceMillis: Long = 0,
    val isProbing: Boolean = false,
    val isUnresponsive: Boolean = false,
) {
    /** Time of the last answer of the primary, or of its becoming known. */
    val lastAnswerMillis: Long get() = maxOf(timeline.newest?.askedMillis ?: 0, primarySinceMillis)
}
