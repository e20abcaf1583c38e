package org.buckthornhub.target

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.wire.Announcement
import org.buckthornhub.target.wire.ConnectResponse
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse

/** Fake HTTP interface of an instance whose log grows by one entry with every statement. */
internal class FakeTarget(private val entry: TargetEntry) {
    var executed: List<ExecuteRequest> = emptyList()

    fun answer(path: String, body: String): Result<HttpReply, HttpFailure> = Ok(
        when {
            path == "/status" -> HttpReply(200, PeerJson.encodeToString(Announcement.serializer(), announcement()))
            path == "/connections" -> HttpReply(200, PeerJson.encodeToString(ConnectResponse.serializer(), ConnectResponse("c1")))
            path.endsWith("/execute") -> execute(PeerJson.decodeFromString(ExecuteRequest.serializer(), body))
            else -> HttpReply(200, "{}")
        },
    )

    private fun execute(request: ExecuteRequest): HttpReply {
        executed = executed + request
        val response = ExecuteResponse(request.requestId, "v", term = 1, position = executed.size.toLong())
        return HttpReply(200, PeerJson.encodeToString(ExecuteResponse.serializer(), response))
    }

    private fun announcement() = Announcement(
        target = entry.target,
        group = entry.group,
        zone = entry.zone,
        address = entry.address,
        role = entry.role,
        term = entry.term,
        received = LogPosition(executed.size.toLong()),
        applied = LogPosition(executed.size.toLong()),
        slots = entry.slots,
    )

    companion object {
        /** A primary of group g in zone a. */
        fun entry(name: String) = TargetEntry(
            target = TargetId(name),
            group = GroupId("g"),
            zone = ZoneId("a"),
            address = "127.0.0.1:1",
            role = TargetRole.PRIMARY,
            term = Term(1),
            received = LogPosition.START,
            applied = LogPosition.START,
            slots = 3,
        )
    }
}
