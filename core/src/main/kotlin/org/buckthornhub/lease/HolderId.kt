package org.buckthornhub.lease

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/** One start of a daemon; a restarted daemon holds nothing of what it held before. */
@Serializable
public data class HolderId(
    val vm: VmId,
    val incarnation: Long,
)
