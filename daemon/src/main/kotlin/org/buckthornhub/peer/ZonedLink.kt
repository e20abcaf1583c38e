package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply

/** Adds the zone of this daemon as a header to each request over [link]. */
internal class ZonedLink(
    private val link: HttpLink,
    zone: ZoneId,
) : HttpLink by link {
    private val zoneHeader = "X-Zone" to zone.value

    override suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> = link.post(path, body, timeoutMillis, headers + zoneHeader)

    override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> =
        link.get(path, timeoutMillis, headers + zoneHeader)
}
