package org.buckthornhub.routing

import org.buckthornhub.target.TargetId

/**
 * The target chosen for a request.
 *
 * @property reason one short sentence, for `explain`
 * @property waitMillis how long the request may wait for the target to apply the position of the session
 */
public data class Route(
    val target: TargetId,
    val reason: String,
    val waitMillis: Long = 0,
)
