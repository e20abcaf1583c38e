package org.buckthornhub.peer

import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.RouteHandler
import java.security.MessageDigest

/** Lets only processes that know the fleet's secret use the routes under `/internal`. */
internal class PeerAuthority(private val fleetSecret: String?) {
    /** Headers of every request to another daemon. */
    fun headers(): Map<String, String> = if (fleetSecret == null) emptyMap() else mapOf(HEADER to fleetSecret)

    /** [handler] behind the check of the secret. */
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        if (isKnown(request.headers[HEADER.lowercase()])) handler.handle(request) else errorReply(refused)
    }

    // Takes equal time for each wrong secret, so that its prefix can't be guessed from timing.
    private fun isKnown(found: String?): Boolean =
        fleetSecret == null || found != null && MessageDigest.isEqual(found.toByteArray(), fleetSecret.toByteArray())

    internal companion object {
        /** For daemons that talk on a network of their own, where no secret is given to them. */
        fun open(): PeerAuthority = PeerAuthority(fleetSecret = null)

        private const val HEADER = "X-Fleet-Secret"
        private val refused = ProxyError(ErrorKind.OPERATOR_REFUSED, "the fleet's secret is missing or wrong")
    }
}
