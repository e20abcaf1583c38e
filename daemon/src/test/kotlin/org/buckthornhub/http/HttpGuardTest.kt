package org.buckthornhub.http

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.overload.ConnectionGuard
import org.buckthornhub.overload.OverloadLimits
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.assertEquals

// Guards against bodies that an HTTP server stores without counting them, and against a count that stays after the answer.
internal class HttpGuardTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `bodies are counted until the answer, and refused beyond the budget`(case: GuardCase) = runBlocking {
        val guard = ConnectionGuard(OverloadLimits(BUDGET, maxConnections = 2), SystemClock)
        val port = ServerSocket(0).use { it.localPort }
        val server =
            HttpServer("127.0.0.1", port, listOf(Route(HttpMethod.Post, "/echo") { HttpReply(200, "{}") }), MAX_BODY, guard = guard)
        server.start()
        try {
            Socket("127.0.0.1", port).use { socket -> assertEquals(case.status, exchange(socket, case)) }
            withTimeout(LIMIT_MILLIS) { while (guard.current().connections.isNotEmpty()) delay(PAUSE_MILLIS) }
            assertEquals(0, guard.current().heldBytes)
        } finally {
            server.stop(0)
        }
    }

    private fun exchange(socket: Socket, case: GuardCase): Int? = try {
        val head = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: ${case.bodyBytes}\r\n\r\n"
        socket.getOutputStream().run {
            write(head.toByteArray() + ByteArray(case.sentBytes))
            flush()
        }
        socket.getInputStream().bufferedReader().readLine()?.split(' ')?.get(1)?.toInt()
    } catch (e: IOException) {
        null // The connection was reset.
    }

    private companion object {
        const val BUDGET = 400_000L
        const val MAX_BODY = 200_000L
        const val LIMIT_MILLIS = 20_000L
        const val PAUSE_MILLIS = 20L

        @JvmStatic
        fun cases(): List<GuardCase> = listOf(
            GuardCase("a body within the budget", 50_000, 50_000, 200),
            GuardCase("no body", 0, 0, 200),
            GuardCase("a body beyond the budget", 150_000, 150_000, null),
            GuardCase("part of a body beyond the budget", 150_000, 120_000, null),
        )
    }
}
