package org.buckthornhub.proxy

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError

/** Errors that the fakes return. */
internal object ProxyErrors {
    val rateExceeded = ProxyError(ErrorKind.RATE_EXCEEDED, "no token is available")
}
