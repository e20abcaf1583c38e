package org.buckthornhub.error

import kotlinx.serialization.Serializable

/**
 * An expected failure.
 *
 * @property detail what was found; safe to show to the caller
 * @property retryAfterMillis when a repeat is worth trying, if known
 */
@Serializable
public data class ProxyError(
    val kind: ErrorKind,
    val detail: String,
    val retryAfterMillis: Long? = null,
)
