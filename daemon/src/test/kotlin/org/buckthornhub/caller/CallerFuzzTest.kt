package org.buckthornhub.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.char
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.buckthornhub.caller.wire.ErrorBody
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.error.ProxyError
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.WireJson
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.session.SessionCodec
import kotlin.test.Test
import kotlin.test.assertEquals

/** Every route answers any input with a documented error and never throws. */
internal class CallerFuzzTest {
    private val proxy =
        object : Proxy {
            override suspend fun execute(request: ProxyRequest): Result<ProxyResponse, ProxyError> =
                Err(ProxyError(ErrorKind.NO_TARGET, "a fake"))
        }
    private val routes = CallerRoutes(proxy, SessionCodec("secret-of-this-test"), SystemClock, 1_000).routes()

    @Test
    fun `any body gets a typed error`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 43, iterations = 500), anyText(maxChars = 300), Arb.int()) { body, index -> check(body, index) }
    }

    @Test
    fun `a corrupted valid body gets a typed error`(): Unit = runBlocking {
        val anyChar = Arb.char(Char.MIN_VALUE..Char.MAX_VALUE)
        checkAll(PropTestConfig(seed = 44, iterations = 500), Arb.int(), anyChar, Arb.int()) { position, damage, index ->
            val at = Math.floorMod(position, VALID.length)
            check(VALID.substring(0, at) + damage + VALID.substring(at + 1), index)
        }
    }

    @Test
    fun `any headers get a typed error`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 45, iterations = 300), anyText(maxChars = 80), anyText(maxChars = 80)) { key, trace ->
            check(VALID, index = 0, headers = mapOf("authorization" to key, "traceparent" to trace))
        }
    }

    private suspend fun check(body: String, index: Int, headers: Map<String, String> = emptyMap()) {
        val route = routes[Math.floorMod(index, routes.size)]
        val reply = route.handler.handle(HttpRequest("POST", route.path, mapOf("id" to "t"), emptyMap(), headers, body))
        val error = WireJson.decodeFromString(ErrorBody.serializer(), reply.body)
        assertEquals(ErrorTable.answerTo(error.kind).status, reply.status)
    }

    private companion object {
        const val VALID = """{"group":"ledger","access":"READ","text":"get x","requestId":"r1","repeatable":true,"deadlineMillis":5}"""

        private fun anyText(maxChars: Int) = Arb.string(0..maxChars, Arb.int(0..Char.MAX_VALUE.code).map { Codepoint(it) })
    }
}
