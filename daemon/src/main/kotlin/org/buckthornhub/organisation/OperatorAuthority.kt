package org.buckthornhub.organisation

import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.RouteHandler
import java.security.MessageDigest

/** Authorizes requests of operators by the operators' secret. */
internal class OperatorAuthority(private val secret: String?) {
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        if (isAuthorized(request.headers["authorization"])) handler.handle(request) else errorReply(refused)
    }

    // Compares in constant time, so that timing reveals no prefix of the secret.
    private fun isAuthorized(found: String?): Boolean {
        if (found == null || secret == null) return false
        return MessageDigest.isEqual(found.removePrefix("Bearer ").toByteArray(), secret.toByteArray())
    }

    private companion object {
        val refused = ProxyError(ErrorKind.OPERATOR_REFUSED, "the operators' secret is missing, wrong or not set on this daemon")
    }
}
