package org.buckthornhub.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.ServerSocket
import java.net.SocketException
import kotlin.concurrent.thread
import kotlin.test.assertEquals

/** A large table that never arrived over a slow link, as its transfer took longer than a reply may. */
internal class SlowReplyTest {
    @ParameterizedTest(name = "the reply begins after {0} ms and goes on for {1} ms, {2} ms are allowed for that: {3}")
    @CsvSource("0, 0, 0, true", "0, 2500, 0, false", "0, 2500, 20000, true", "4000, 0, 20000, false", "0, 20000, 1000, false")
    fun `a reply that has begun may take longer`(beginMillis: Long, lastMillis: Long, transferMillis: Long, isReceived: Boolean) {
        ServerSocket(0).use { server ->
            thread { reply(server, beginMillis, lastMillis) }
            HttpLinks.open("127.0.0.1:${server.localPort}").use { link ->
                val result = runBlocking { link.postForLargeReply("/", "{}", TIMEOUT_MILLIS, transferMillis) }
                assertEquals(isReceived, result.isOk, "$result")
            }
        }
    }

    private fun reply(server: ServerSocket, beginMillis: Long, lastMillis: Long) = try {
        server.accept().use { socket ->
            val lines = socket.getInputStream().bufferedReader()
            while (lines.readLine().orEmpty().isNotEmpty()) Unit
            Thread.sleep(beginMillis)
            val out = socket.getOutputStream()
            out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{".toByteArray())
            out.flush()
            Thread.sleep(lastMillis)
            out.write("}".toByteArray())
            out.flush()
            lines.read()
        }
    } catch (e: SocketException) {
        // The client has given up.
        -1
    }

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
    }
}
