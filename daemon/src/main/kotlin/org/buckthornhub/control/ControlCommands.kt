package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson

/** Has commands committed from any daemon. */
internal class ControlCommands(private val client: ControlClient) {
    /** Commits [command], or answers `NO_QUORUM`, which leaves open whether it is committed later. */
    suspend fun commit(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val body = PeerJson.encodeToString(ControlCommand.serializer(), command)
        val reply = client.post(ControlRoutes.PROPOSE, body, TIMEOUT_MILLIS).getOrElse { return noQuorum(it.detail) }
        return if (reply.isSuccess) outcomeOf(reply) else noQuorum(detailOf(reply))
    }

    private fun outcomeOf(reply: HttpReply): Result<CommandOutcome, ProxyError> = try {
        Ok(PeerJson.decodeFromString(CommandOutcome.serializer(), reply.body))
    } catch (e: SerializationException) {
        noQuorum("the leader's answer can't be read: ${e.message.orEmpty().lineSequence().first()}")
    }

    private fun detailOf(reply: HttpReply): String = try {
        PeerJson.decodeFromString(ErrorBody.serializer(), reply.body).detail
    } catch (e: SerializationException) {
        "status ${reply.status}"
    }

    private fun noQuorum(detail: String) = Err(ProxyError(ErrorKind.NO_QUORUM, detail))

    private companion object {
        const val TIMEOUT_MILLIS = 4_000L
    }
}
