package org.buckthornhub.observe

import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.RouteHandler
import java.security.MessageDigest

/** Lets only operators use a route: `Authorization: Bearer SECRET`. Without a secret it refuses everyone. */
internal class OperatorAuthority(private val secret: String?) {
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        if (isKnown(request.headers["authorization"])) handler.handle(request) else errorReply(refused)
    }

    // Takes equal time for each wrong secret, so that its prefix can't be guessed from timing.
    private fun isKnown(found: String?): Boolean =
        secret != null && found != null && MessageDigest.isEqual(found.toByteArray(), "Bearer $secret".toByteArray())

    private companion object {
        val refused = ProxyError(ErrorKind.OPERATOR_REFUSED, "the operator secret is missing or wrong")
    }
}
