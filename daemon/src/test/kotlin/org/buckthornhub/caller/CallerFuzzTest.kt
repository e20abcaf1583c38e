package org.buckthornhub.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.runBlocking
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.StringLength
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
import kotlin.test.assertEquals

/** Every route answers any input with a documented error and never throws. */
internal class CallerFuzzTest {
    private val proxy =
        object : Proxy {
            override suspend fun execute(request: ProxyRequest): Result<ProxyResponse, ProxyError> =
                Err(ProxyError(ErrorKind.NO_TARGET, "a fake"))
        }
    private val routes = CallerRoutes(proxy, SessionCodec("secret-of-this-test"), SystemClock, 1_000).routes()

    @Property(tries = 500, seed = "43")
    fun `any body gets a typed error`(@ForAll @StringLength(max = 300) body: String, @ForAll index: Int) = check(body, index)

    @Property(tries = 500, seed = "44")
    fun `a corrupted valid body gets a typed error`(@ForAll position: Int, @ForAll damage: Char, @ForAll index: Int) {
        val at = Math.floorMod(position, VALID.length)
        check(VALID.substring(0, at) + damage + VALID.substring(at + 1), index)
    }

    @Property(tries = 300, seed = "45")
    fun `any headers get a typed error`(@ForAll @StringLength(max = 80) key: String, @ForAll @StringLength(max = 80) trace: String) =
        check(VALID, index = 0, headers = mapOf("authorization" to key, "traceparent" to trace))

    private fun check(body: String, index: Int, headers: Map<String, String> = emptyMap()) {
        val route = routes[Math.floorMod(index, routes.size)]
        val reply = runBlocking { route.handler.handle(HttpRequest("POST", route.path, mapOf("id" to "t"), emptyMap(), headers, body)) }
        val error = WireJson.decodeFromString(ErrorBody.serializer(), reply.body)
        assertEquals(ErrorTable.answerTo(error.kind).status, reply.status)
    }

    private companion object {
        const val VALID = """{"group":"ledger","access":"READ","text":"get x","requestId":"r1","repeatable":true,"deadlineMillis":5}"""
    }
}
