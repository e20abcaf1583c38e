package org.buckthornhub.peer

import org.buckthornhub.http.HttpLink

/** A link to a daemon, with the [address] for which it was opened. */
internal data class PeerLink(
    val address: String,
    val link: HttpLink,
)
