package org.buckthornhub.control

import io.ktor.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.clock.Clock
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.PeerAuthenticator

/** Serves the control state to other daemons by long polling, as deltas where possible. */
internal class FeedRoutes(
    private val source: FeedSource,
    private val feed: StateSource<FeedState>,
    private val authority: PeerAuthenticator,
    private val clock: Clock,
) {
    fun routes(): List<Route> = listOf(Route(HttpMethod.Get, PATH, authority.guard { answer(it) }))

    private suspend fun answer(request: HttpRequest): HttpReply {
        val receivedMillis = clock.nowMillis()
        val from = request.query["from"]?.toLongOrNull() ?: 0
        val waitMillis = request.query["wait"]?.toLongOrNull()?.coerceIn(0, MAX_WAIT_MILLIS) ?: 0
        withTimeoutOrNull(waitMillis) { source.awaitNewer(from) }
        val answer = answerFrom(from, clock.nowMillis(), receivedMillis)
        return HttpReply(status = 200, body = PeerJson.encodeToString(FeedAnswer.serializer(), answer))
    }

    private fun answerFrom(from: Long, nowMillis: Long, receivedMillis: Long): FeedAnswer {
        val view = source.view()
        val cached = feed.current()
        val isNewer = view.state.revision > from
        val older = cached.history[from] ?: cached.view.state.takeIf { it.revision == from }
        return FeedAnswer(
            revision = view.state.revision,
            ageMillis = view.freshMillis?.let { nowMillis - it },
            heldMillis = nowMillis - receivedMillis,
            delta = if (isNewer && older != null) ControlDeltas.between(older, view.state) else null,
            snapshot = if (isNewer && older == null) view.state else null,
            withdrawn = cached.withdrawn.takeIf { it.isNotEmpty() },
        )
    }

    internal companion object {
        const val PATH = "/internal/feed"
        private const val MAX_WAIT_MILLIS = 10_000L
    }
}
