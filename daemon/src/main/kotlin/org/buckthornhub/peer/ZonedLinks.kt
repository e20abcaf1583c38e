package org.buckthornhub.peer

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpLink

/** Opens links that send the zone of this daemon; stand-in targets simulate the network delay between zones by it. */
internal class ZonedLinks(
    private val links: HttpLink.Factory,
    private val zone: ZoneId,
) : HttpLink.Factory {
    override fun open(address: String): HttpLink = ZonedLink(links.open(address), zone)
}
