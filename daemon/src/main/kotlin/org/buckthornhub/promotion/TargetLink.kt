package org.buckthornhub.promotion

import com.github.michaelbull.result.get
import kotlinx.serialization.SerializationException
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.FollowRequest
import org.buckthornhub.target.wire.PromoteRequest

/** What daemons ask of a target besides statements. */
internal class TargetLink(private val link: HttpLink) : AutoCloseable {
    /** The state of the target, or null if it does not answer in time. */
    suspend fun status(timeoutMillis: Long): Announcement? =
        link.get("/status", timeoutMillis).get()?.takeIf { it.isSuccess }?.let { decode(it.body) }

    /** Orders the target to lead in [term]; true if it leads in that term afterwards, also by an earlier order. */
    suspend fun promote(term: Term, timeoutMillis: Long): Boolean {
        val body = PeerJson.encodeToString(PromoteRequest.serializer(), PromoteRequest(term))
        val isDone = link.post("/promote", body, timeoutMillis).get()?.isSuccess ?: false
        return isDone || status(timeoutMillis)?.let { it.role == TargetRole.PRIMARY && it.term == term } ?: false
    }

    /** Orders the target to replicate from [primaryAddress], which leads in [term]. */
    suspend fun follow(term: Term, primaryAddress: String, timeoutMillis: Long) {
        link.post("/follow", PeerJson.encodeToString(FollowRequest.serializer(), FollowRequest(term, primaryAddress)), timeoutMillis)
    }

    override fun close(): Unit = link.close()

    private fun decode(body: String): Announcement? = try {
        PeerJson.decodeFromString(Announcement.serializer(), body)
    } catch (e: SerializationException) {
        null
    }
}
