package org.buckthornhub.control

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.routetable.StoredRouteTable

/** Takes route tables from operators and gives them back, on any control VM, through the one that leads. */
public class RouteTableDesk internal constructor(
    private val control: ControlTask,
    private val leader: ControlClient,
) {
    private val commands = ControlCommands(leader)

    /** Puts [stored] in force unless a newer one is; it is durable on a majority once this answers [RouteTableAnswer.Accepted]. */
    public suspend fun replace(stored: StoredRouteTable): RouteTableAnswer {
        val command = ControlCommand.ReplaceRouteTable(stored)
        val result =
            if (control.leadership.current().isLeader) {
                withTimeoutOrNull(COMMIT_MILLIS) { control.propose(command) }
                    ?: return RouteTableAnswer.Unavailable("no majority answered within $COMMIT_MILLIS ms")
            } else {
                commands.commit(command)
            }
        return result.mapBoth(success = { RouteTableAnswer.Accepted }, failure = { RouteTableAnswer.Unavailable(it.detail) })
    }

    /** The newest table that was accepted anywhere, or [RouteTableAnswer.Unavailable] if that can't be shown. */
    public suspend fun current(): RouteTableAnswer {
        if (control.leadership.current().isLeader) return confirmed()
        val reply = leader.post(PATH, "{}", READ_MILLIS).getOrElse { return RouteTableAnswer.Unavailable(it.detail) }
        if (!reply.isSuccess) return RouteTableAnswer.Unavailable("the leader answered with status ${reply.status}")
        return try {
            RouteTableAnswer.Current(PeerJson.decodeFromString(RouteTableDocument.serializer(), reply.body).document)
        } catch (e: SerializationException) {
            RouteTableAnswer.Unavailable("the leader's answer can't be read: ${e.message.orEmpty().lineSequence().first()}")
        }
    }

    internal fun routes(): List<Route> = listOf(Route(HttpMethod.Post, PATH, LeaderGuard(control.leadership).guard { answer() }))

    private suspend fun answer(): HttpReply = when (val found = confirmed()) {
        is RouteTableAnswer.Current ->
            HttpReply(status = 200, PeerJson.encodeToString(RouteTableDocument.serializer(), RouteTableDocument(found.document)))
        else -> HttpReply(UNAVAILABLE, "{}")
    }

    private suspend fun confirmed(): RouteTableAnswer {
        val isConfirmed = withTimeoutOrNull(READ_MILLIS) { control.confirmLeadership().isOk } ?: false
        if (!isConfirmed) return RouteTableAnswer.Unavailable("no majority confirmed within $READ_MILLIS ms that this VM leads")
        return RouteTableAnswer.Current(control.state.current().routeTable?.document)
    }

    private companion object {
        const val PATH = "/internal/control/route-table"

        /** Callers go to another VM after a second without an answer. */
        const val READ_MILLIS = 800L

        /** A large table takes a few syncs; callers wait longer for large bodies. In ms. */
        const val COMMIT_MILLIS = 1_500L
        const val UNAVAILABLE = 503
    }
}
