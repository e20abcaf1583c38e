package org.buckthornhub.control

import org.buckthornhub.fleet.StateSource
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.RouteHandler

/** Redirects requests meant for the leader of the control quorum that reach another VM. */
internal class LeaderGuard(private val leadership: StateSource<ControlLeadership>) {
    /** Wraps [handler] so that it runs only on the leader. Other VMs reply with status 421 and the name of the leader, if known. */
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
