package org.buckthornhub.control

import com.github.michaelbull.result.get
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
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
    private val onAnswer: (PeerMessage) -> Unit,
) : Task<PeerMessage>("member-link-$address", capacity = 64) {
    private val link = links.open(address)

    override suspend fun handle(message: PeerMessage) {
        val reply = link.post(PATH, PeerJson.encodeToString(PeerMessage.serializer(), message), TIMEOUT_MILLIS, authority.headers()).get()
        if (reply != null && reply.isSuccess) decode(reply.body).forEach(onAnswer)
    }

    private fun decode(body: String): List<PeerMessage> = try {
        PeerJson.decodeFromString(ListSerializer(PeerMessage.serializer()), body)
    } catch (e: SerializationException) {
        emptyList()
    }

    override fun onEnd(): Unit = link.close()

    internal companion object {
        const val PATH = "/internal/control/message"
        private const val TIMEOUT_MILLIS = 400L
    }
}
