package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId

/**
 * One run of a daemon as a holder of shares.
 *
 * @property epoch random at each start: a restarted daemon holds nothing of its earlier run, whose batches may still be out
 */
@Serializable
public data class HolderId(
    val vm: VmId,
    val epoch: Long,
)
