package org.buckthornhub.control

import kotlinx.serialization.Serializable

/**
 * What a daemon learns of the control state from another one.
 *
 * @property ageMillis time since a majority stood behind it, as of the answer; null if never
 * @property heldMillis how long the question was held back
 * @property delta from the revision that was asked from; [whole] is given where there is none
 * @property withdrawn names of keys that were withdrawn, also those that the quorum has not recorded
 */
@Serializable
public data class FeedAnswer(
    val revision: Long,
    val ageMillis: Long? = null,
    val heldMillis: Long = 0,
    val delta: ControlDelta? = null,
    val whole: ControlState? = null,
    val withdrawn: Set<String>? = null,
)
