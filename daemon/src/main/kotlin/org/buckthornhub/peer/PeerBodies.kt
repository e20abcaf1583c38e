package org.buckthornhub.peer

import kotlinx.serialization.KSerializer
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson

/** Decodes the body of a request from another daemon and passes it to [action]. An undecodable body is refused. */
internal suspend fun <T> withPeerBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> HttpReply): HttpReply {
    val body =
        try {
            PeerJson.decodeFromString(serializer, request.body)
        } catch (e: IllegalArgumentException) {
            // The library throws IllegalArgumentException for a truncated body, and a subtype of it for other errors.
            return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
        }
    return action(body)
}
