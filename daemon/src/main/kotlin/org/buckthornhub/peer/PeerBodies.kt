package org.buckthornhub.peer

import kotlinx.serialization.KSerializer
import org.buckthornhub.caller.errorReply
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson

/** Decodes the body of a request from another daemon and has [action] answer it; a body that can't be read is refused. */
internal suspend fun <T> withPeerBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> HttpReply): HttpReply {
    val body =
        try {
            PeerJson.decodeFromString(serializer, request.body)
        } catch (e: IllegalArgumentException) {
            // Besides its own exception, the library throws this one for a body that was cut short.
            return errorReply(ProxyError(ErrorKind.MALFORMED_REQUEST, e.message.orEmpty().lineSequence().first()))
        }
    return action(body)
}
