package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/**
 * Identifies one run of a daemon as a holder of shares.
 *
 * @property epoch random at each start, so that a restarted daemon does not take over the shares of its earlier run, which may
 *   have outstanding batches
 */
@Serializable
public data class HolderId(
    val vm: VmId,
    val epoch: Long,
)
