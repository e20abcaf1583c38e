package org.buckthornhub.error

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.session.Session

/**
 * An expected failure of a request.
 *
 * @property detail description of the cause; safe to show to the caller
 * @property retryAfterMillis time after which a retry may succeed, if known
 * @property position position that the target had applied, if it lagged
 * @property session session to continue with after a write whose outcome is unknown
 */
@Serializable
public data class ProxyError(
    val kind: ErrorKind,
    val detail: String,
    val retryAfterMillis: Long? = null,
    val position: Position? = null,
    val session: Session? = null,
)
