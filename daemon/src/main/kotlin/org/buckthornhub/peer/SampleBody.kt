package org.buckthornhub.peer

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** Asks the owner of the primary [target] for samples after [after]. */
@Serializable
internal data class SampleBody(
    val target: TargetId,
    val after: Position? = null,
)
