package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.Execution

/**
 * The answer to a request that was refused or failed; see docs/OPERATIONS.md for each kind.
 *
 * @property session the token to go on with after a write whose outcome is not known
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
