package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson

/** Submits commands to the control quorum from any daemon. */
internal class ControlCommands(private val client: ControlClient) {
    /** Commits [command]. Fails with `NO_QUORUM` if the outcome is unknown; the command may still be committed later. */
    suspend fun commit(command: ControlCommand): Result<CommandOutcome, ProxyError> {
        val body = PeerJson.encodeToString(ControlCommand.serializer(), command)
        // Commands are safe to resend: the change id, the expected term or idempotence ensures that each takes effect once.
        repeat(ATTEMPTS - 1) {
            val early = client.post(ControlRoutes.PROPOSE, body, TIMEOUT_MILLIS).get()
            if (early != null && early.isSuccess) return outcomeOf(early)
        }
        val reply = client.post(ControlRoutes.PROPOSE, body, TIMEOUT_MILLIS).getOrElse { return noQuorum(it.detail) }
        return if (reply.isSuccess) outcomeOf(reply) else noQuorum(detailOf(reply))
    }

    private fun outcomeOf(reply: HttpReply): Result<CommandOutcome, ProxyError> = try {
        Ok(PeerJson.decodeFromString(CommandOutcome.serializer(), reply.body))
    } catch (e: IllegalArgumentException) {
        noQuorum("undecodable reply of the control leader: ${e.message.orEmpty().lineSequence().first()}")
    }

    private fun detailOf(reply: HttpReply): String = try {
        PeerJson.decodeFromString(ErrorBody.serializer(), reply.body).detail
    } catch (e: IllegalArgumentException) {
        "status ${reply.status}"
    }

    private fun noQuorum(detail: String) = Err(ProxyError(ErrorKind.NO_QUORUM, detail))

    private companion object {
        const val ATTEMPTS = 3
        const val TIMEOUT_MILLIS = 1_300L
    }
}
