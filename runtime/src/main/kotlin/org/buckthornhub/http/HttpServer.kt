package org.buckthornhub.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.util.toMap
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.io.readByteArray
import org.buckthornhub.overload.AcceptGate
import org.buckthornhub.overload.ConnectionGuard
import org.buckthornhub.text.UnicodeText

/**
 * HTTP server on non-blocking I/O.
 *
 * @param host address to listen on
 * @param otherPorts additional ports on [host] that serve the same routes
 * @param maxBodyBytes limit on request bodies; a larger one gets [tooLarge], by default with status 413
 * @param guard limits what the connections hold; null for a server that only trusted peers reach
 * @param invalidText reply to a request whose path or body is no Unicode text in UTF-8
 * @param onFault reply if a handler throws; it contains no stack trace
 */
public class HttpServer(
    host: String,
    port: Int,
    routes: List<Route>,
    private val maxBodyBytes: Long = DEFAULT_MAX_BODY_BYTES,
    private val tooLarge: HttpReply = HttpReply(PAYLOAD_TOO_LARGE, "{}"),
    private val onFault: HttpReply = HttpReply(SERVER_ERROR, "{}"),
    private val invalidText: HttpReply = HttpReply(BAD_REQUEST, "{}"),
    otherPorts: List<Int> = emptyList(),
    guard: ConnectionGuard? = null,
) {
    private val engine: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(
            Netty,
            configure = {
                if (guard != null) {
                    configureBootstrap = { handler(AcceptGate(guard)) }
                    channelPipelineConfig = { addAfter(CODEC, GUARD, HttpGuardHandler(guard)) }
                }
                (listOf(port) + otherPorts).forEach { each ->
                    connector {
                        this.host = host
                        this.port = each
                    }
                }
            },
        ) {
            routing {
                routes.forEach { route ->
                    route(route.path, route.method) { handle { answer(call, route.handler) } }
                }
            }
        }

    /** Starts the server; returns once the port is open. */
    public fun start() {
        engine.start(wait = false)
    }

    /** Stops accepting connections, and waits up to [graceMillis] for in-flight requests. */
    public suspend fun stop(graceMillis: Long): Unit = engine.stopSuspend(graceMillis, graceMillis)

    @Suppress("TooGenericExceptionCaught") // Last resort: an error in one request must not end the others.
    private suspend fun answer(call: ApplicationCall, handler: RouteHandler) {
        val bytes = call.receiveChannel().readRemaining(maxBodyBytes + 1).readByteArray()
        val reply =
            try {
                if (bytes.size > maxBodyBytes) tooLarge else expand(call, bytes)?.let { replyTo(call, it, handler) } ?: tooLarge
            } catch (e: CancellationException) {
                throw e // The caller disconnected or the server is stopping, so this is no error of the handler.
            } catch (e: RuntimeException) {
                logger.error(e) { "handler of ${call.request.path()} failed" }
                onFault
            }
        reply.headers.forEach { (name, value) -> call.response.header(name, value) }
        val type = reply.headers[CONTENT_TYPE]?.let { ContentType.parse(it) } ?: ContentType.Application.Json
        val status = HttpStatusCode.fromValue(reply.status)
        val isDaemon = call.request.headers[BodyCompression.HEADER] == BodyCompression.GZIP
        if (isDaemon) call.response.header(BodyCompression.HEADER, BodyCompression.GZIP)
        val head = reply.head
        when {
            isDaemon && head != null -> {
                call.response.header(BodyCompression.ENCODED, BodyCompression.GZIP)
                call.respond(ConcatenatedContent(listOf(head.gzip, BodyCompression.compress(reply.body)), type, status))
            }
            isDaemon && reply.body.length >= BodyCompression.MIN_CHARS -> {
                call.response.header(BodyCompression.ENCODED, BodyCompression.GZIP)
                call.respondBytes(BodyCompression.compress(reply.body), type, status)
            }
            else -> call.respondText(head?.text?.invoke().orEmpty() + reply.body, type, status)
        }
    }

    private fun expand(call: ApplicationCall, bytes: ByteArray): ByteArray? {
        val isCompressed = call.request.headers[BodyCompression.ENCODED] == BodyCompression.GZIP
        return if (isCompressed) BodyCompression.expand(bytes, maxBodyBytes) else bytes
    }

    private suspend fun replyTo(call: ApplicationCall, bytes: ByteArray, handler: RouteHandler): HttpReply {
        val body = UnicodeText.decode(bytes)?.takeIf { UnicodeText.hasOnlyCharacters(it) }
        if (body != null && UnicodeText.isUri(call.request.uri)) return handler.handle(requestOf(call, body))
        logger.info { "a request to ${call.request.path()} was rejected, as its path or body is no Unicode text in UTF-8" }
        return invalidText
    }

    private fun requestOf(call: ApplicationCall, body: String): HttpRequest = HttpRequest(
        method = call.request.httpMethod.value,
        path = call.request.path(),
        pathParts = call.parameters.toMap().mapValues { it.value.first() },
        query = call.request.queryParameters.toMap().mapValues { it.value.first() },
        headers = call.request.headers.toMap().entries.associate { it.key.lowercase() to it.value.first() },
        body = body,
    )

    public companion object {
        /** Default limit on request bodies, in bytes. */
        public const val DEFAULT_MAX_BODY_BYTES: Long = 1_048_576
        private const val BAD_REQUEST = 400
        private const val PAYLOAD_TOO_LARGE = 413
        private const val SERVER_ERROR = 500

        /** Name that Ktor gives its HTTP codec. */
        private const val CODEC = "codec"
        private const val GUARD = "guard"
        private const val CONTENT_TYPE = "Content-Type"
        private val logger = KotlinLogging.logger {}
    }
}
