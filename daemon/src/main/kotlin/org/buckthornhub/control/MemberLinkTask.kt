package org.buckthornhub.control

import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.peer.PeerAuthority
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.task.Task

/** Owns the connection to one other control VM. What can't be delivered is dropped; the members send again by themselves. */
internal class MemberLinkTask(
    address: String,
    links: HttpLink.Factory,
    private val authority: PeerAuthority,
) : Task<PeerMessage>("member-link-$address", capacity = 64) {
    private val link = links.open(address)

    override suspend fun handle(message: PeerMessage) {
        link.post(PATH, PeerJson.encodeToString(PeerMessage.serializer(), message), TIMEOUT_MILLIS, authority.headers())
    }

    override fun onEnd(): Unit = link.close()

    internal companion object {
        const val PATH = "/internal/control/message"
        private const val TIMEOUT_MILLIS = 400L
    }
}
