package org.buckthornhub.limit

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route

/** Links that call the routes of the daemon at an address directly, without sockets. */
internal class LoopbackLinks : HttpLink.Factory {
    var routes: Map<String, List<Route>> = emptyMap()
    var unreachable: Set<String> = emptySet()

    override fun open(address: String): HttpLink = object : HttpLink {
        override suspend fun post(
            path: String,
            body: String,
            timeoutMillis: Long,
            headers: Map<String, String>,
        ): Result<HttpReply, HttpFailure> {
            val route = routes[address]?.find { it.path == path }
            if (route == null || address in unreachable) return Err(HttpFailure(sent = false, detail = "no connection to $address"))
            val known = headers.mapKeys { it.key.lowercase() }
            return Ok(route.handler.handle(HttpRequest("POST", path, emptyMap(), emptyMap(), known, body)))
        }

        override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> =
            error("not used")

        override fun close() = Unit
    }
}
