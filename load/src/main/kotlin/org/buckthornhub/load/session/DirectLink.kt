package org.buckthornhub.load.session

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.SerializationException
import org.buckthornhub.clock.Clock
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.target.wire.ConnectResponse
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault
import org.buckthornhub.target.wire.WireAction

/** Sends statements straight to one target on a connection of its own: the baseline for the cost of the proxy. */
internal class DirectLink(
    private val address: String,
    private val link: HttpLink,
    private val clock: Clock,
) : CallerLink {
    private var connection: String? = null

    override suspend fun send(statement: LoadStatement, token: String?): LinkAnswer {
        val sentMillis = clock.nowMillis()
        val open = connection ?: connect() ?: return LinkAnswer(address, sentMillis, clock.nowMillis(), Outcome.Unanswered(sent = false))
        connection = open
        val action = if (statement.type.isWrite) WireAction.WRITE else WireAction.READ
        val body = PeerJson.encodeToString(ExecuteRequest.serializer(), ExecuteRequest(statement.requestId, action, statement.text))
        val result = link.post("/connections/$open/execute", body, TIMEOUT_MILLIS)
        return LinkAnswer(address, sentMillis, clock.nowMillis(), outcomeOf(result))
    }

    private suspend fun connect(): String? {
        val reply = link.post("/connections", "{}", TIMEOUT_MILLIS).get()?.takeIf { it.isSuccess } ?: return null
        return PeerJson.decodeFromString(ConnectResponse.serializer(), reply.body).connection
    }

    private fun outcomeOf(result: Result<HttpReply, HttpFailure>): Outcome = result.mapBoth(
        success = { read(it) },
        failure = { Outcome.Unanswered(it.sent) },
    )

    private fun read(reply: HttpReply): Outcome = try {
        if (reply.isSuccess) {
            Outcome.Served(PeerJson.decodeFromString(ExecuteResponse.serializer(), reply.body).value, fromReplica = false)
        } else {
            refused(PeerJson.decodeFromString(TargetFault.serializer(), reply.body))
        }
    } catch (e: SerializationException) {
        Outcome.Unanswered(sent = true)
    }

    private fun refused(fault: TargetFault): Outcome {
        if (fault.code == TargetFault.Code.NO_SUCH_CONNECTION) connection = null
        return Outcome.Refused(fault.code.name, mayResend = fault.code == TargetFault.Code.NO_SUCH_CONNECTION)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000L
    }
}
