package org.buckthornhub.routing

import org.buckthornhub.target.TargetId

/**
 * Where a request goes.
 *
 * @property reason one short sentence, for `explain`
 * @property waitMillis how long the target may be waited for if it has not applied the position of the session
 */
public data class Route(
    val target: TargetId,
    val reason: String,
    val waitMillis: Long = 0,
)
