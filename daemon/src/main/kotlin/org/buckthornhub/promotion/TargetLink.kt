package org.buckthornhub.promotion

import com.github.michaelbull.result.get
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.FollowRequest
import org.buckthornhub.target.wire.PromoteRequest

/** Link to a target for status requests and promotion commands. */
internal class TargetLink(private val link: HttpLink) : AutoCloseable {
    /** Returns the state of the target, or null if it does not reply in time. */
    suspend fun status(timeoutMillis: Long): Announcement? =
        link.get("/status", timeoutMillis).get()?.takeIf { it.isSuccess }?.let { decode(it.body) }

    /** Promotes the target to primary in [term]. Returns true if it is primary in that term, also through an earlier command. */
    suspend fun promote(term: Term, timeoutMillis: Long): Boolean {
        val body = PeerJson.encodeToString(PromoteRequest.serializer(), PromoteRequest(term))
        val isDone = link.post("/promote", body, timeoutMillis).get()?.isSuccess ?: false
        return isDone || status(timeoutMillis)?.let { it.role == TargetRole.PRIMARY && it.term == term } ?: false
    }

    /** Makes the target replicate from [primaryAddress], the primary in [term]. */
    suspend fun follow(term: Term, primaryAddress: String, timeoutMillis: Long) {
        link.post("/follow", PeerJson.encodeToString(FollowRequest.serializer(), FollowRequest(term, primaryAddress)), timeoutMillis)
    }

    override fun close(): Unit = link.close()

    private fun decode(body: String): Announcement? = try {
        PeerJson.decodeFromString(Announcement.serializer(), body)
    } catch (e: IllegalArgumentException) {
        null
    }
}
