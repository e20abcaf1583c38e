package org.buckthornhub.organisation

import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.RouteHandler
import java.security.MessageDigest

/** Lets only those who know the operators' secret change the lists and keys. */
internal class OperatorAuthority(private val secret: String?) {
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        if (isKnown(request.headers["authorization"])) handler.handle(request) else errorReply(refused)
    }

    // Takes equal time for each wrong secret, so that its prefix can't be guessed from timing.
    private fun isKnown(found: String?): Boolean {
        if (found == null || secret == null) return false
        return MessageDigest.isEqual(found.removePrefix("Bearer ").toByteArray(), secret.toByteArray())
    }

    private companion object {
        val refused = ProxyError(ErrorKind.OPERATOR_REFUSED, "the operators' secret is missing, wrong or not set on this daemon")
    }
}
