package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/**
 * The whole answer of a target.
 *
 * @property term the term that the target was in
 * @property position of the write, or the last applied one when reading
 */
@Serializable
public data class ExecuteResponse(
    val requestId: String,
    val value: String? = null,
    val term: Long,
    val position: Long,
)
