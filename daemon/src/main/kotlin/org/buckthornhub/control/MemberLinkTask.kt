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
) : Task<PeerMessage>("member-link-$address", MAX_WAITING) {
    private val link = links.open(address)

    override suspend fun handle(message: PeerMessage) {
        val body = PeerJson.encodeToString(PeerMessage.serializer(), message)
        val reply = link.post(PATH, body, TIMEOUT_MILLIS + body.length / CHARS_PER_MILLI, authority.headers()).get()
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

        /** A VM that has just started reads and syncs about this much in a millisecond. */
        private const val CHARS_PER_MILLI = 250

        /** A leader repeats entries until they are acknowledged: more than this would only be the same ones again. */
        private const val MAX_WAITING = 2
    }
}
