package org.buckthornhub.limit

import kotlinx.serialization.Serializable

/**
 * Identifies a batch of tokens that a share holder issued.
 *
 * @property epoch random at each start of the holder, so that a batch from before a restart matches none of the new ones
 */
@Serializable
public data class BatchId(
    val epoch: Long,
    val sequence: Long,
)
