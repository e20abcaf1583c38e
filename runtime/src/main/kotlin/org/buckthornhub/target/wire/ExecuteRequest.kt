package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/**
 * Runs one statement on an open connection of a target.
 *
 * @property requestId correlation id, echoed in the response to detect crossed responses
 */
@Serializable
public data class ExecuteRequest(
    val requestId: String,
    val action: WireAction,
    val text: String = "",
)
