package org.buckthornhub.horizon

import org.buckthornhub.target.TargetId

/**
 * What is known of the leader of one group.
 *
 * @property leaderSinceMillis since when [leader] has been known as such
 * @property isAsking true while a question to it is open
 * @property isSilent true if it gave no answer to the last question, nor to anything else for some time
 */
internal data class GroupHorizon(
    val horizon: CommitTimeline = CommitTimeline(),
    val leader: TargetId? = null,
    val leaderSinceMillis: Long = 0,
    val isAsking: Boolean = false,
    val isSilent: Boolean = false,
) {
    /** When the leader last answered, or was named. */
    val heardMillis: Long get() = maxOf(horizon.newest?.askedMillis ?: 0, leaderSinceMillis)
}
