package org.buckthornhub.routing

import org.buckthornhub.target.TargetId

/**
 * Where a request goes.
 *
 * @property reason one short sentence, for `explain`
 */
public data class Route(
    val target: TargetId,
    val reason: String,
)
