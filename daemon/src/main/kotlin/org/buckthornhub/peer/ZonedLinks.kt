package org.buckthornhub.peer

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpLink

/** Opens links that say which zone they come from; a target that models the network delays by it. */
internal class ZonedLinks(
    private val links: HttpLink.Factory,
    private val zone: ZoneId,
) : HttpLink.Factory {
    override fun open(address: String): HttpLink = ZonedLink(links.open(address), zone)
}
