package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.PeerJson
import org.buckthornhub.target.wire.TargetFault

/** Sends messages to the task of an instance on behalf of HTTP requests and encodes its results. */
internal class InstanceClient(private val task: InstanceTask) {
    fun current(): InstanceState = task.current()

    fun tell(message: InstanceMessage): Boolean = task.offer(message)

    suspend fun <T> ask(message: (CompletableDeferred<Result<T, TargetFault>>) -> InstanceMessage): Result<T, TargetFault> {
        val answer = CompletableDeferred<Result<T, TargetFault>>()
        check(task.offer(message(answer))) { "the mailbox of ${task.name} is full" }
        return answer.await()
    }

    suspend fun <T> withBody(request: HttpRequest, serializer: KSerializer<T>, action: suspend (T) -> HttpReply): HttpReply {
        val body =
            try {
                PeerJson.decodeFromString(serializer, request.body)
            } catch (e: SerializationException) {
                return faultReply(TargetFault(TargetFault.Code.STATEMENT_INVALID, "invalid request body: ${e.message}"))
            }
        return action(body)
    }

    fun <T> reply(result: Result<T, TargetFault>, serializer: KSerializer<T>): HttpReply = result.mapBoth(
        success = { reply(it, serializer) },
        failure = { faultReply(it) },
    )

    fun <T> reply(body: T, serializer: KSerializer<T>): HttpReply = HttpReply(STATUS_OK, PeerJson.encodeToString(serializer, body))

    private fun faultReply(fault: TargetFault) = HttpReply(STATUS_CONFLICT, PeerJson.encodeToString(TargetFault.serializer(), fault))

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409
    }
}
