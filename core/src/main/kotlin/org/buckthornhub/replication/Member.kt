package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/** A member of the quorum: a VM together with its disk. A VM that lost its disk counts as a different member. */
@Serializable
public data class Member(
    val vm: VmId,
    val disk: DiskId,
)
