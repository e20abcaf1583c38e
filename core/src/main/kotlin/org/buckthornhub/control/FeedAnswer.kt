package org.buckthornhub.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answer to a feed request: the control state of another daemon or a control VM.
 *
 * @property ageMillis time from the last confirmation of the state by a majority to this answer; null if it was never confirmed
 * @property heldMillis how long the request was held open before the answer was sent (long polling)
 * @property delta changes since the requested revision; null if [snapshot] is given instead or nothing changed
 * @property withdrawn names of withdrawn keys, including those that the quorum has not recorded yet
 */
@Serializable
public data class FeedAnswer(
    val revision: Long,
    val ageMillis: Long? = null,
    val heldMillis: Long = 0,
    val delta: ControlDelta? = null,
    @SerialName("whole")
    val snapshot: ControlState? = null,
    val withdrawn: Set<String>? = null,
)
