package org.buckthornhub.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.withPeerBody
import org.buckthornhub.routetable.RouteTableParser
import org.buckthornhub.routetable.StoredRouteTable

/** Stores and returns the route table of operators. Works on any control VM, through the leader. */
public class RouteTableService internal constructor(
    private val control: ControlTask,
    private val leader: ControlClient,
    private val parser: RouteTableParser,
    private val budget: DocumentBudgetTask,
) {
    private val commands = ControlCommands(leader)

    internal fun start(scope: CoroutineScope) {
        budget.start(scope)
    }

    /**
     * Commits the table of [document] unless a newer one is committed; [RouteTableResult.Accepted] means that it is durable on a
     * majority.
     */
    public suspend fun replace(document: String): RouteTableResult = budget.within(document.length) {
        val stored = parser.parse(document).getOrElse { return@within RouteTableResult.Invalid(it) }
        val version = stored.table.version
        when {
            // What is committed here is durable on a majority, so a table that is not newer needs no entry in the log.
            isKnown(version) -> RouteTableResult.Accepted(version)
            control.leadership.current().isLeader -> commit(stored)
            else -> forward(document, version)
        }
    } ?: RouteTableResult.Unavailable("other documents take up the memory for documents")

    /** Returns the newest committed table, or [RouteTableResult.Unavailable] if no majority confirms that it is the newest. */
    public suspend fun current(): RouteTableResult {
        if (control.leadership.current().isLeader) return confirmedTable()
        val reply = leader.post(PATH, "{}", READ_TIMEOUT_MILLIS).getOrElse { return RouteTableResult.Unavailable(it.detail) }
        if (!reply.isSuccess) return RouteTableResult.Unavailable("the control leader replied with status ${reply.status}")
        return try {
            RouteTableResult.Current(PeerJson.decodeFromString(RouteTableDocument.serializer(), reply.body).document)
        } catch (e: IllegalArgumentException) {
            RouteTableResult.Unavailable("undecodable reply of the control leader: ${e.message.orEmpty().lineSequence().first()}")
        }
    }

    internal fun routes(): List<Route> {
        val guard = LeaderGuard(control.leadership)
        return listOf(
            Route(HttpMethod.Post, PATH, guard.guard { replyWithTable() }),
            Route(
                HttpMethod.Post,
                REPLACE,
                guard.guard { request ->
                    withPeerBody(request, RouteTableDocument.serializer()) { replaced(it) }
                },
            ),
        )
    }

    private fun isKnown(version: Long): Boolean = control.state.current().routeTable?.let { version <= it.table.version } ?: false

    private suspend fun commit(stored: StoredRouteTable): RouteTableResult {
        val result = withTimeoutOrNull(COMMIT_TIMEOUT_MILLIS) { control.propose(ControlCommand.ReplaceRouteTable(stored)) }
            ?: return RouteTableResult.Unavailable("no majority answered within $COMMIT_TIMEOUT_MILLIS ms")
        return resultOf(stored.table.version, result)
    }

    // The leader parses the document itself: together with its table, it is several times larger.
    private suspend fun forward(document: String, version: Long): RouteTableResult {
        val body = PeerJson.encodeToString(RouteTableDocument.serializer(), RouteTableDocument(document))
        // A leader that is lost or replaced gives no answer; the next one may be known by then.
        repeat(ATTEMPTS - 1) {
            val early = leader.post(REPLACE, body, FORWARD_TIMEOUT_MILLIS).get()
            if (early != null && early.status != LeaderGuard.NOT_LEADER) return resultOf(early, document, version)
        }
        val last = leader.post(REPLACE, body, FORWARD_TIMEOUT_MILLIS).getOrElse { return RouteTableResult.Unavailable(it.detail) }
        return resultOf(last, document, version)
    }

    private suspend fun resultOf(reply: HttpReply, document: String, version: Long): RouteTableResult = when {
        reply.isSuccess -> RouteTableResult.Accepted(version)
        reply.status == NOT_FOUND -> forwardCommand(document)
        else -> RouteTableResult.Unavailable("the control leader replied with status ${reply.status}")
    }

    // A leader of an earlier version takes only whole commands.
    private suspend fun forwardCommand(document: String): RouteTableResult {
        val stored = parser.parse(document).getOrElse { return RouteTableResult.Invalid(it) }
        return resultOf(stored.table.version, commands.commit(ControlCommand.ReplaceRouteTable(stored)))
    }

    private fun resultOf(version: Long, result: Result<CommandOutcome, ProxyError>): RouteTableResult =
        result.mapBoth(success = { RouteTableResult.Accepted(version) }, failure = { RouteTableResult.Unavailable(it.detail) })

    private suspend fun replaced(body: RouteTableDocument): HttpReply {
        val result = replace(body.document.orEmpty())
        return HttpReply(if (result is RouteTableResult.Accepted) OK else UNAVAILABLE, "{}")
    }

    private suspend fun replyWithTable(): HttpReply = when (val result = confirmedTable()) {
        is RouteTableResult.Current ->
            HttpReply(status = OK, PeerJson.encodeToString(RouteTableDocument.serializer(), RouteTableDocument(result.document)))
        else -> HttpReply(UNAVAILABLE, "{}")
    }

    private suspend fun confirmedTable(): RouteTableResult {
        val isConfirmed = withTimeoutOrNull(READ_TIMEOUT_MILLIS) { control.confirmLeadership().isOk } ?: false
        if (!isConfirmed) return RouteTableResult.Unavailable("leadership not confirmed by a majority within $READ_TIMEOUT_MILLIS ms")
        return RouteTableResult.Current(control.state.current().routeTable?.document)
    }

    private companion object {
        const val PATH = "/internal/control/route-table"
        const val REPLACE = "/internal/control/replace-route-table"

        /** Less than the second after which callers try another VM; in ms. */
        const val READ_TIMEOUT_MILLIS = 800L

        /** A large table takes several syncs, and callers allow more time for large bodies; in ms. */
        const val COMMIT_TIMEOUT_MILLIS = 1_500L
        const val FORWARD_TIMEOUT_MILLIS = 1_600L
        const val ATTEMPTS = 3
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
