package org.buckthornhub.error

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.session.Session

/**
 * An expected failure.
 *
 * @property detail what was found; safe to show to the caller
 * @property retryAfterMillis when a repeat is worth trying, if known
 * @property position how far the target had come, if it was behind
 * @property session the session after a write whose outcome is not known
 */
@Serializable
public data class ProxyError(
    val kind: ErrorKind,
    val detail: String,
    val retryAfterMillis: Long? = null,
    val position: Position? = null,
    val session: Session? = null,
)
