package org.buckthornhub.cli.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.SerializationException
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.cli.operator.OperatorFailure
import org.buckthornhub.http.WireJson
import org.buckthornhub.text.UnicodeText
import java.io.IOException
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** HTTP client for the evacuations of one control VM; orders are repeated, as a repetition changes nothing. */
internal class EvacuationClient(private val controlVm: String) {
    private val http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()

    suspend fun send(action: EvacuationAction, zone: String): Result<String, OperatorFailure> {
        var last = attempt(action, zone)
        repeat(ATTEMPTS - 1) {
            if (last.getError()?.isOutcomeUnknown != true) return last
            delay(RETRY_MILLIS)
            last = attempt(action, zone)
        }
        return last
    }

    private suspend fun attempt(action: EvacuationAction, zone: String): Result<String, OperatorFailure> = try {
        val path = URLEncoder.encode(zone, Charsets.UTF_8).replace("+", "%20")
        val request = HttpRequest.newBuilder(URI.create("http://$controlVm/v1/evacuations/$path"))
            .method(action.method, HttpRequest.BodyPublishers.noBody())
            .timeout(TIMEOUT)
            .build()
        val response = http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).await()
        val body = UnicodeText.decode(response.body()) ?: throw IOException("the answer is not UTF-8")
        if (response.statusCode() in SUCCESS) Ok(body) else Err(failureOf(response.statusCode(), body))
    } catch (e: IOException) {
        Err(OperatorFailure(ExitCode.UNREACHABLE, "$controlVm can't be reached: $e", isOutcomeUnknown = true))
    } catch (e: IllegalArgumentException) {
        Err(OperatorFailure(ExitCode.USAGE, "$controlVm is no address of a control VM: ${e.message}"))
    }

    private fun failureOf(status: Int, body: String): OperatorFailure = try {
        val error = WireJson.decodeFromString(ErrorBody.serializer(), body)
        val detail = "${error.kind}: ${error.detail}. ${error.advice}"
        OperatorFailure(ExitCode.REFUSED, detail, isOutcomeUnknown = status == UNAVAILABLE, body)
    } catch (e: SerializationException) {
        OperatorFailure(ExitCode.REFUSED, "status $status; is this a control VM of a deployment with evacuations?")
    }

    private companion object {
        val SUCCESS = 200..299
        const val UNAVAILABLE = 503

        /** Longer than a control VM takes for an answer. */
        val TIMEOUT: Duration = Duration.ofSeconds(2)

        /** With the pauses, longer than an election. */
        const val ATTEMPTS = 5
        const val RETRY_MILLIS = 300L
    }
}
