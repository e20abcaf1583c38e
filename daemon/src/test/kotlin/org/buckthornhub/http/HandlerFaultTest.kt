package org.buckthornhub.http

import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.assertEquals

/** Requests whose handler fails, and requests that can't be read. */
internal class HandlerFaultTest {
    private val port = ServerSocket(0).use { it.localPort }

    @ParameterizedTest
    @ValueSource(strings = ["runtime exception", "stack overflow", "assertion"])
    fun `a handler that fails is answered and ends neither the process nor the server`(fault: String) {
        val answers = exchange(listOf("POST /items/$fault HTTP/1.1".replace(" o", "%20o").replace(" e", "%20e"), "POST /items/ok HTTP/1.1"))
        assertEquals(listOf("500", "200"), answers)
    }

    @ParameterizedTest
    @ValueSource(strings = ["%", "%zz", "%00", "%0a", "%ff%fe", "a/b", "..", "%2e%2e", "", "?id=%", "?%zz=%zz", "?a", "%F0%9F%98%80"])
    fun `a path that can't be read ends neither the process nor the server`(id: String) {
        assertEquals("200", exchange(listOf("POST /items/$id HTTP/1.1", "POST /items/ok HTTP/1.1")).last())
    }

    private fun exchange(requestLines: List<String>): List<String> = runBlocking {
        var uncaught: List<Throwable> = emptyList()
        val before = Thread.getDefaultUncaughtExceptionHandler()
        Thread.setDefaultUncaughtExceptionHandler { _, failure -> uncaught = uncaught + failure }
        val server = HttpServer("127.0.0.1", port, listOf(Route(HttpMethod.Post, "/items/{id}") { handle(it) }))
        server.start()
        try {
            requestLines.map { statusOf(it) }.also { assertEquals(emptyList(), uncaught) }
        } finally {
            server.stop(graceMillis = 100)
            Thread.setDefaultUncaughtExceptionHandler(before)
        }
    }

    private fun handle(request: HttpRequest): HttpReply = when (request.pathParts["id"]) {
        "runtime exception" -> error("unexpected")
        "stack overflow" -> HttpReply(OK, "${depth(0)}")
        "assertion" -> throw AssertionError("unexpected")
        else -> HttpReply(OK, "{}")
    }

    private fun depth(level: Int): Int = 1 + depth(level + 1)

    private fun statusOf(requestLine: String): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = TIMEOUT_MILLIS
        socket.getOutputStream().write("$requestLine\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}".toByteArray())
        socket.getInputStream().bufferedReader().readLine().orEmpty().split(' ').getOrElse(1) { "none" }
    }

    private companion object {
        private const val OK = 200
        private const val TIMEOUT_MILLIS = 5_000
    }
}
