package org.buckthornhub.coordination

import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpMethod
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlTask
import org.buckthornhub.control.LeaderGuard
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.http.Route
import org.buckthornhub.peer.withPeerBody
import org.buckthornhub.target.TargetId

/** Accepts announcements of instances on any control VM, and passes them to the control leader before it replies. */
public class InstanceAnnouncementService internal constructor(
    private val vm: VmId,
    private val control: ControlTask,
    private val coordinator: CoordinatorTask,
    private val leader: ControlClient,
) {
    /** Passes [record] to the control leader. Returns the VM that accepted it, or null if the leader can't be reached. */
    public suspend fun announce(record: InstanceRecord): VmId? {
        if (control.leadership.current().isLeader) return vm.takeIf { coordinator.offer(CoordinatorMessage.Announced(record)) }
        return forwardToLeader(ANNOUNCE, PeerJson.encodeToString(InstanceRecord.serializer(), record))
    }

    /** Reports that the instance [target] has ended; returns the same as [announce]. */
    public suspend fun end(target: TargetId): VmId? {
        if (control.leadership.current().isLeader) return vm.takeIf { coordinator.offer(CoordinatorMessage.Ended(target)) }
        return forwardToLeader(END, PeerJson.encodeToString(TargetId.serializer(), target))
    }

    internal fun routes(): List<Route> {
        val guard = LeaderGuard(control.leadership)
        return listOf(
            Route(
                HttpMethod.Post,
                ANNOUNCE,
                guard.guard {
                    withPeerBody(it, InstanceRecord.serializer()) { record -> replyTo(announce(record)) }
                },
            ),
            Route(HttpMethod.Post, END, guard.guard { withPeerBody(it, TargetId.serializer()) { target -> replyTo(end(target)) } }),
        )
    }

    private suspend fun forwardToLeader(path: String, body: String): VmId? {
        val to = control.leadership.current().leader
        val reply = leader.post(path, body, FORWARD_TIMEOUT_MILLIS).getOrElse { return null }
        return to.takeIf { reply.isSuccess }
    }

    private fun replyTo(leader: VmId?): HttpReply = HttpReply(if (leader != null) OK else UNAVAILABLE, "{}")

    private companion object {
        const val ANNOUNCE = "/internal/instances/announce"
        const val END = "/internal/instances/end"

        /** Less than the second that instances wait for the reply; in ms. */
        const val FORWARD_TIMEOUT_MILLIS = 700L
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
