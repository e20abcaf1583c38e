package org.buckthornhub.control

import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.RouteHandler

/** Sends those who take this VM for the leader of the control quorum to the one that is. */
internal class LeaderGuard(private val leadership: StateSource<ControlLeadership>) {
    /** [handler] on the leader; status 421 with the name of the leader, if known, on any other VM. */
    fun guard(handler: RouteHandler): RouteHandler = RouteHandler { request ->
        val current = leadership.current()
        if (current.isLeader) handler.handle(request) else HttpReply(NOT_LEADER, "", hintOf(current))
    }

    private fun hintOf(current: ControlLeadership) = current.leader?.let { mapOf(HEADER to it.value) }.orEmpty()

    internal companion object {
        const val NOT_LEADER = 421
        const val HEADER = "X-Control-Leader"
    }
}
