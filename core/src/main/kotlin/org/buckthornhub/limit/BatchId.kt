package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/**
 * Names a batch of tokens that a holder handed out.
 *
 * @property epoch chosen at random at each start of the holder, so that a batch of an earlier run matches nothing
 */
@Serializable
public data class BatchId(
    val epoch: Long,
    val sequence: Long,
)
