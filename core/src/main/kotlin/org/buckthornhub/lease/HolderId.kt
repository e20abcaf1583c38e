package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/** Identifies one run of a daemon. A restarted daemon is another holder and has no leases of the previous run. */
@Serializable
public data class HolderId(
    val vm: VmId,
    val incarnation: Long,
)
