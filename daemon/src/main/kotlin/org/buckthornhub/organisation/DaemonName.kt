package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/** A daemon by its VM and zone; a control VM that has not been met has no known zone. */
@Serializable
internal data class DaemonName(
    val vm: VmId,
    val zone: ZoneId? = null,
)
