package org.buckthornhub.peer

import org.buckthornhub.http.HttpLink

/** A link to the daemon at [address]; a daemon that moved gets a new one. */
internal data class PeerLink(
    val address: String,
    val link: HttpLink,
)
