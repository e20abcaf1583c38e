package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/** Identifies a daemon by VM and zone; the zone of a control VM that is not in the fleet view is unknown. */
@Serializable
internal data class DaemonName(
    val vm: VmId,
    val zone: ZoneId? = null,
)
