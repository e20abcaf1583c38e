package org.buckthornhub.cli.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpLink
import org.buckthornhub.http.HttpLinks
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.WireJson

/** HTTP client for the operator interface of one daemon; a change is retried under the same id if its outcome is unknown. */
internal class OperatorClient(private val options: OperatorOptions) {
    private val secret = options.secret ?: System.getenv("BUCKTHORNHUB_OPERATOR_SECRET").orEmpty()

    suspend fun show(path: String): Result<String, OperatorFailure> = send { it.get("$ROOT/$path", TIMEOUT_MILLIS, headers()) }

    suspend fun post(path: String, body: String): Result<String, OperatorFailure> =
        sendWithRetries { it.post("$ROOT/$path", body, TIMEOUT_MILLIS, headers()) }

    fun <T> decode(serializer: KSerializer<T>, text: String): T = WireJson.decodeFromString(serializer, text)

    private suspend fun sendWithRetries(request: suspend (HttpLink) -> Result<HttpReply, HttpFailure>): Result<String, OperatorFailure> {
        var last = send(request)
        for (attempt in 1 until ATTEMPTS) {
            if (!isRetryable(last)) return last
            delay(RETRY_MILLIS * attempt)
            last = send(request)
        }
        return last
    }

    private fun isRetryable(result: Result<String, OperatorFailure>): Boolean =
        result.getError()?.let { it.exitCode == ExitCode.UNREACHABLE || it.isOutcomeUnknown } ?: false

    private suspend fun send(request: suspend (HttpLink) -> Result<HttpReply, HttpFailure>): Result<String, OperatorFailure> {
        val result = HttpLinks.open(options.daemon).use { request(it) }
        val reply = result.get() ?: return Err(OperatorFailure(ExitCode.UNREACHABLE, result.getError()?.detail.orEmpty()))
        return if (reply.isSuccess) Ok(reply.body) else Err(failureOf(reply))
    }

    private fun failureOf(reply: HttpReply): OperatorFailure = try {
        val error = WireJson.decodeFromString(ErrorBody.serializer(), reply.body)
        OperatorFailure(ExitCode.REFUSED, "${error.kind}: ${error.detail}. ${error.advice}", error.kind == ErrorKind.NO_QUORUM, reply.body)
    } catch (e: SerializationException) {
        OperatorFailure(ExitCode.REFUSED, "status ${reply.status}")
    }

    private fun headers() = mapOf("Authorization" to "Bearer $secret")

    private companion object {
        const val ROOT = "/v1/operator"
        const val TIMEOUT_MILLIS = 10_000L
        const val ATTEMPTS = 3
        const val RETRY_MILLIS = 300L
    }
}
