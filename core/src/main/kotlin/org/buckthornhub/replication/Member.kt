package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/** A member of the quorum: a VM together with its disk, so that a VM that lost its disk is another member. */
@Serializable
public data class Member(
    val vm: VmId,
    val disk: DiskId,
)
