package org.buckthornhub.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.util.toMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.withTimeout
import org.buckthornhub.text.UnicodeText
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** [HttpLink] over HTTP/1.1 and TCP, on non-blocking I/O. */
internal class RealHttpLink(private val address: String) : HttpLink {
    private val acceptsCompressed = MutableStateFlow(false)
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0 // Each request sets its own timeout.
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint {
                    maxConnectionsPerRoute = MAX_CONNECTIONS
                    connectTimeout = CONNECT_TIMEOUT_MILLIS
                    connectAttempts = 1
                    keepAliveTime = KEEP_ALIVE_MILLIS
                }
            }
        }

    override suspend fun post(
        path: String,
        body: String,
        timeoutMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> = send(HttpMethod.Post, path, timeoutMillis, headers) { setText(body) }

    override suspend fun postForLargeReply(
        path: String,
        body: String,
        timeoutMillis: Long,
        transferMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> = send(HttpMethod.Post, path, timeoutMillis, headers, transferMillis) { setText(body) }

    override suspend fun post(
        path: String,
        body: CompressedBody,
        timeoutMillis: Long,
        headers: Map<String, String>,
    ): Result<HttpReply, HttpFailure> {
        if (!acceptsCompressed.value) return post(path, body.text(), timeoutMillis, headers)
        return send(HttpMethod.Post, path, timeoutMillis, headers) {
            contentType(ContentType.Application.Json)
            header(BodyCompression.ENCODED, BodyCompression.GZIP)
            setBody(body.gzip)
        }
    }

    override suspend fun get(path: String, timeoutMillis: Long, headers: Map<String, String>): Result<HttpReply, HttpFailure> =
        send(HttpMethod.Get, path, timeoutMillis, headers) {}

    override fun close(): Unit = client.close()

    private fun HttpRequestBuilder.setText(body: String) {
        contentType(ContentType.Application.Json)
        if (acceptsCompressed.value && body.length >= BodyCompression.MIN_CHARS) {
            header(BodyCompression.ENCODED, BodyCompression.GZIP)
            setBody(BodyCompression.compress(body))
        } else {
            setBody(body)
        }
    }

    @Suppress("TooGenericExceptionCaught") // Last resort: a task waits for the result of each request, so none may be missing.
    private suspend fun send(
        method: HttpMethod,
        path: String,
        timeoutMillis: Long,
        headers: Map<String, String>,
        transferMillis: Long = 0,
        configure: HttpRequestBuilder.() -> Unit,
    ): Result<HttpReply, HttpFailure> = try {
        Ok(withTimeouts(timeoutMillis, transferMillis) { onBegin -> exchange(method, path, headers, onBegin, configure) })
    } catch (e: ConnectException) {
        Err(HttpFailure(sent = false, detail = "no connection to $address"))
    } catch (e: ConnectTimeoutException) {
        Err(HttpFailure(sent = false, detail = "no connection to $address within $CONNECT_TIMEOUT_MILLIS ms"))
    } catch (e: UnresolvedAddressException) {
        Err(HttpFailure(sent = false, detail = "address $address can't be resolved"))
    } catch (e: TimeoutCancellationException) {
        Err(HttpFailure(sent = true, detail = "no reply from $address within $timeoutMillis ms"))
    } catch (e: CancellationException) {
        // The engine also cancels a request whose connection was reset; rethrow only if this coroutine itself was cancelled.
        currentCoroutineContext().ensureActive()
        Err(HttpFailure(sent = true, detail = "connection to $address was lost: ${e.message}"))
    } catch (e: IOException) {
        Err(HttpFailure(sent = true, detail = "connection to $address was lost: ${e.message}"))
    } catch (e: IllegalStateException) {
        Err(HttpFailure(sent = true, detail = "incomplete reply from $address: ${e.message}"))
    } catch (e: RuntimeException) {
        logger.error(e) { "unexpected error in a request to $address$path" }
        Err(HttpFailure(sent = true, detail = "unexpected error: ${e.message}"))
    }

    // A reply that has begun comes from a peer that is alive, so its size decides how long it may take.
    private suspend fun withTimeouts(timeoutMillis: Long, transferMillis: Long, exchange: suspend (() -> Unit) -> HttpReply): HttpReply {
        if (transferMillis == 0L) return withTimeout(timeoutMillis) { exchange {} }
        return coroutineScope {
            val begun = CompletableDeferred<Unit>()
            val reply = async { exchange { begun.complete(Unit) } }
            withTimeout(timeoutMillis) { begun.await() }
            withTimeout(transferMillis) { reply.await() }
        }
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: String,
        headers: Map<String, String>,
        onBegin: () -> Unit,
        configure: HttpRequestBuilder.() -> Unit,
    ): HttpReply = client.prepareRequest("http://$address$path") {
        this.method = method
        header(BodyCompression.HEADER, BodyCompression.GZIP)
        headers.forEach { (name, value) -> header(name, value) }
        configure()
    }.execute { response ->
        onBegin()
        acceptsCompressed.value = response.headers[BodyCompression.HEADER] == BodyCompression.GZIP
        val isCompressed = response.headers[BodyCompression.ENCODED] == BodyCompression.GZIP
        HttpReply(
            status = response.status.value,
            body = textOf(if (isCompressed) expand(response.bodyAsBytes()) else response.bodyAsBytes()),
            headers = response.headers.toMap().mapValues { it.value.first() },
        )
    }

    private fun textOf(bytes: ByteArray): String = UnicodeText.decode(bytes)?.takeIf { UnicodeText.hasOnlyCharacters(it) }
        ?: throw IOException("a body is no Unicode text in UTF-8")

    private fun expand(bytes: ByteArray): ByteArray =
        BodyCompression.expand(bytes, MAX_BODY_BYTES) ?: throw IOException("a compressed body is damaged or too large")

    private companion object {
        const val MAX_BODY_BYTES = 16_777_216L
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val KEEP_ALIVE_MILLIS = 30_000L
        const val MAX_CONNECTIONS = 1_000
        val logger = KotlinLogging.logger {}
    }
}
