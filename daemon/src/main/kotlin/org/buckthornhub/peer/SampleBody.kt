package org.buckthornhub.peer

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** Request to the owner of the primary [target] for its commit samples after the position [after]. */
@Serializable
internal data class SampleBody(
    val target: TargetId,
    val after: Position? = null,
)
