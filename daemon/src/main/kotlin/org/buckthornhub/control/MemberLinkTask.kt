package org.buckthornhub.control

import com.github.michaelbull.result.get
import kotlinx.serialization.builtins.ListSerializer
import org.buckthornhub.http.CompressedBody
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.JsonStream
import org.buckthornhub.http.PeerJson
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.task.Task

/** Owns the connection to one other control VM. Drops messages that it can't deliver, since replication resends them. */
internal class MemberLinkTask(
    address: String,
    links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
    private val onReply: (PeerMessage) -> Unit,
) : Task<PeerMessage>("member-link-$address", MAX_QUEUED) {
    private val link = links.open(address)

    override suspend fun handle(message: PeerMessage) {
        val timeoutMillis = TIMEOUT_MILLIS + message.chars / CHARS_PER_MILLISECOND
        val reply = if (message.chars < LARGE_CHARS) {
            link.post(PATH, textOf(message), timeoutMillis, authority.headers()).get()
        } else {
            val gzip = JsonStream.compress { JsonStream.write(PeerMessage.serializer(), message, it) }
            link.post(PATH, CompressedBody(gzip) { textOf(message) }, timeoutMillis, authority.headers()).get()
        }
        if (reply != null && reply.isSuccess) decode(reply.body).forEach(onReply)
    }

    private fun textOf(message: PeerMessage) = PeerJson.encodeToString(PeerMessage.serializer(), message)

    private fun decode(body: String): List<PeerMessage> = try {
        PeerJson.decodeFromString(ListSerializer(PeerMessage.serializer()), body)
    } catch (e: IllegalArgumentException) {
        emptyList()
    }

    override fun onEnd(): Unit = link.close()

    internal companion object {
        const val PATH = "/internal/control/message"
        private const val TIMEOUT_MILLIS = 400L

        /** Throughput at which a freshly started VM reads and syncs; large messages get a longer timeout accordingly. */
        private const val CHARS_PER_MILLISECOND = 250

        /** Size from which a message is encoded without its whole text in memory, in characters. */
        private const val LARGE_CHARS = 50_000

        /** A leader resends entries until they are acknowledged, so a longer queue would only hold duplicates. */
        private const val MAX_QUEUED = 2
    }
}
