package org.buckthornhub.http

import com.github.michaelbull.result.get
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.ByteArrayOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.util.zip.GZIPOutputStream
import kotlin.concurrent.thread
import kotlin.test.assertEquals

/** Bytes that are no text and were read as another text than was sent, so that a key or name became another one. */
internal class InvalidTextTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a request is handled as it was sent, or refused`(case: InvalidTextCase) {
        for (isCompressed in listOf(false, true)) {
            var seen: String? = null
            val handler = RouteHandler { request -> HttpReply(200, "{}").also { seen = request.body } }
            val status = statusOf(Route(HttpMethod.Post, "/items/{id}", handler), case, isCompressed)
            assertEquals(if (case.isText) "200" else "400", status, "compressed: $isCompressed")
            assertEquals(if (case.isText) bytesOf(case.body).decodeToString() else null, seen, "compressed: $isCompressed")
        }
    }

    @ParameterizedTest
    @MethodSource("replies")
    fun `a reply is passed on as it was sent, or counts as a failure`(case: InvalidTextCase) {
        for (isCompressed in listOf(false, true)) {
            val reply = replyOf(case, isCompressed)
            assertEquals(if (case.isText) bytesOf(case.body).decodeToString() else null, reply?.body, "compressed: $isCompressed")
        }
    }

    private fun statusOf(route: Route, case: InvalidTextCase, isCompressed: Boolean): String = runBlocking {
        val port = ServerSocket(0).use { it.localPort }
        val server = HttpServer("127.0.0.1", port, listOf(route))
        server.start()
        try {
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = TIMEOUT_MILLIS
                val encoding = if (isCompressed) "X-Fleet-Encoding: gzip\r\n" else ""
                val body = bodyOf(case, isCompressed)
                val head = "POST ${case.path} HTTP/1.1\r\nHost: x\r\n${encoding}Content-Length: ${body.size}\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write(bytesOf(head) + body)
                socket.getInputStream().bufferedReader().readLine().orEmpty().split(' ').getOrElse(1) { "none" }
            }
        } finally {
            server.stop(graceMillis = 100)
        }
    }

    private fun replyOf(case: InvalidTextCase, isCompressed: Boolean): HttpReply? = ServerSocket(0).use { server ->
        thread {
            server.accept().use { socket ->
                val lines = socket.getInputStream().bufferedReader()
                while (lines.readLine().orEmpty().isNotEmpty()) Unit
                val encoding = if (isCompressed) "X-Fleet-Encoding: gzip\r\n" else ""
                val body = bodyOf(case, isCompressed)
                val head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${encoding}Content-Length: ${body.size}\r\n\r\n"
                socket.getOutputStream().write(bytesOf(head) + body)
                socket.getOutputStream().flush()
                // Stays open until the client has read the reply.
                socket.getInputStream().read()
            }
        }
        HttpLinks.open("127.0.0.1:${server.localPort}").use { link ->
            runBlocking { link.get("/", TIMEOUT_MILLIS.toLong(), emptyMap()).get() }
        }
    }

    private fun bodyOf(case: InvalidTextCase, isCompressed: Boolean): ByteArray {
        if (!isCompressed) return bytesOf(case.body)
        return ByteArrayOutputStream().also { out -> GZIPOutputStream(out).use { it.write(bytesOf(case.body)) } }.toByteArray()
    }

    private fun bytesOf(characters: String) = characters.toByteArray(Charsets.ISO_8859_1)

    private companion object {
        const val TIMEOUT_MILLIS = 5_000

        @JvmStatic
        fun cases(): List<InvalidTextCase> = replies() + listOf(
            InvalidTextCase("a path with an encoded é", "{}", isText = true, path = "/items/%C3%A9"),
            InvalidTextCase("a path with an encoded é in ISO 8859-1", "{}", isText = false, path = "/items/%E9"),
            InvalidTextCase("a path with a cut character", "{}", isText = false, path = "/items/%C3"),
            InvalidTextCase("a path with an encoded surrogate", "{}", isText = false, path = "/items/%ED%A0%80"),
            InvalidTextCase("a path with a byte above ASCII", "{}", isText = false, path = "/items/\u00e9"),
            InvalidTextCase("a query that is not UTF-8", "{}", isText = false, path = "/items/ok?id=%FF"),
        )

        @JvmStatic
        fun replies(): List<InvalidTextCase> = listOf(
            InvalidTextCase("ASCII", """{"a":"b"}""", isText = true),
            InvalidTextCase("UTF-8", "{\"a\":\"\u00c3\u00a9\"}", isText = true),
            InvalidTextCase("UTF-8 of four bytes", "{\"a\":\"\u00f0\u009f\u0098\u0080\"}", isText = true),
            InvalidTextCase("the replacement character itself", "{\"a\":\"\u00ef\u00bf\u00bd\"}", isText = true),
            InvalidTextCase("ISO 8859-1", "{\"a\":\"cl\u00e9\"}", isText = false),
            InvalidTextCase("a cut character", "{\"a\":\"\u00c3\"}", isText = false),
            InvalidTextCase("a continuation byte alone", "{\"a\":\"\u00a9\"}", isText = false),
            InvalidTextCase("an overlong form of a slash", "{\"a\":\"\u00c0\u00af\"}", isText = false),
            InvalidTextCase("a surrogate in UTF-8", "{\"a\":\"\u00ed\u00a0\u0080\"}", isText = false),
            InvalidTextCase("a character beyond the last one", "{\"a\":\"\u00f4\u0090\u0080\u0080\"}", isText = false),
            InvalidTextCase("UTF-16", "\u00fe\u00ff\u0000{\u0000}", isText = false),
            InvalidTextCase("an escaped character", """{"a":"\u00e9"}""", isText = true),
            InvalidTextCase("an escaped pair", """{"a":"\ud83d\ude00"}""", isText = true),
            InvalidTextCase("an escaped half of a pair", """{"a":"\ud800"}""", isText = false),
            InvalidTextCase("the other half", """{"a":"\udc00"}""", isText = false),
            InvalidTextCase("two first halves", """{"a":"\ud83d\ud83d\ude00"}""", isText = false),
            InvalidTextCase("a half and a character", """{"a":"\ud800\u0041"}""", isText = false),
            InvalidTextCase("a half in capitals in a name", """{"\uD800":1}""", isText = false),
            InvalidTextCase("an escaped backslash before the letters of a half", """{"a":"\\ud800"}""", isText = true),
            InvalidTextCase("an escaped backslash before a half", """{"a":"\\\ud800"}""", isText = false),
            InvalidTextCase("an escape that is cut", """{"a":"\ud8""", isText = true),
        )
    }
}
