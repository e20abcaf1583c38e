package org.buckthornhub.peer

import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.RouteHandler
import java.security.MessageDigest

/** Authenticates requests between daemons: the routes under `/internal` require the fleet secret. */
internal class PeerAuthenticator(private val fleetSecret: String?) {
    /** Returns the headers to add to each request to another daemon. */
    fun headers(): Map<String, String> = if (fleetSecret == null) emptyMap() else mapOf(HEADER to fleetSecret)

    /** Wraps [handler] so that it runs only for requests with the fleet secret. */
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        if (isAccepted(request.headers[HEADER.lowercase()])) handler.handle(request) else errorReply(refused)
    }

    // Compares in constant time, so that the secret can't be guessed from timing.
    private fun isAccepted(secret: String?): Boolean =
        fleetSecret == null || secret != null && MessageDigest.isEqual(secret.toByteArray(), fleetSecret.toByteArray())

    internal companion object {
        /** Returns an authenticator that accepts every request, for daemons on a private network without a secret. */
        fun open(): PeerAuthenticator = PeerAuthenticator(fleetSecret = null)

        private const val HEADER = "X-Fleet-Secret"
        private val refused = ProxyError(ErrorKind.OPERATOR_REFUSED, "the fleet secret is missing or wrong")
    }
}
