package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/**
 * Runs one statement on an open connection of a target.
 *
 * @property requestId comes back in the response, so that crossed answers are seen
 */
@Serializable
public data class ExecuteRequest(
    val requestId: String,
    val action: WireAction,
    val text: String = "",
)
