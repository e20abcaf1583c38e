package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.Execution

/**
 * Response to a request that was refused or failed; see docs/OPERATIONS.md for each kind.
 *
 * @property session session token for the next request after a write with an unknown outcome
 */
@Serializable
public data class ErrorBody(
    val kind: ErrorKind,
    val detail: String,
    val execution: Execution,
    val repeatMayHelp: Boolean,
    val advice: String,
    val retryAfterMillis: Long? = null,
    val traceId: String? = null,
    val session: String? = null,
)
