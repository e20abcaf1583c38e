package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/**
 * Response of a target to [ExecuteRequest].
 *
 * @property requestId id of the request, echoed to detect crossed responses
 * @property term term of the target when it executed the statement
 * @property position log position of the write, or the last applied position for a read
 */
@Serializable
public data class ExecuteResponse(
    val requestId: String,
    val value: String? = null,
    val term: Long,
    val position: Long,
)
