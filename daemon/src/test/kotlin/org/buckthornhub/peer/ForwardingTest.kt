package org.buckthornhub.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.organisation.AuthenticateInterceptor
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.KeyRecord
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.proxy.Interceptor
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.ExecuteInterceptor
import org.buckthornhub.target.TargetCall
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests calls that are forwarded to the owner in another daemon. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ForwardingTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a call is sent once, and a lost or damaged reply gives the matching error`(case: ForwardCase) = runTest {
        val fleet = TwoDaemons(backgroundScope, clockOf(this), case.alterReply)
        fleet.start()
        val result = fleet.gateway.execute(callOf(case.access))
        assertEquals(case.error, result.getError()?.kind)
        assertEquals(1, fleet.target.executed.size)
        assertEquals(1, fleet.peerLink.sent.size)
    }

    @Test
    fun `a resend after a lost reply gets the result of the first execution`() = runTest {
        val lostOnce = persistentListOf<(HttpReply) -> Result<HttpReply, HttpFailure>>({ lost }, { Ok(it) }).iterator()
        val fleet = TwoDaemons(backgroundScope, clockOf(this)) { lostOnce.next()(it) }
        fleet.start()
        assertEquals(ErrorKind.OUTCOME_UNKNOWN, fleet.gateway.execute(callOf(Access.WRITE)).getError()?.kind)
        assertNull(fleet.gateway.execute(callOf(Access.WRITE)).getError())
        assertEquals(1, fleet.target.executed.size)
    }

    @Test
    fun `the key of the caller never leaves the daemon`() = runTest {
        val key = "key-of-the-caller-4711"
        val fleet = TwoDaemons(backgroundScope, clockOf(this))
        fleet.start()
        val configuration = Configuration(keys = mapOf(KeyDigest.of(ApiKey(key)) to KeyRecord("k1", OrganisationId("o"))))
        val routed = Interceptor { chain -> chain.proceed(chain.call.copy(target = TargetId("p"))) }
        val proxy = Proxy(persistentListOf(AuthenticateInterceptor({ configuration }), routed, ExecuteInterceptor(fleet.gateway)))
        val request = ProxyRequest(ApiKey(key), null, operationOf(Access.WRITE), RequestId("r"), deadlineMillis = 1_000)
        assertNull(proxy.execute(request).getError())
        val bytes = fleet.peerLink.sent + fleet.targetLink.sent
        assertTrue(bytes.any { it.contains("put x 1") }, "the statement itself was sent")
        assertFalse(bytes.any { it.contains(key) || it.contains(KeyDigest.of(ApiKey(key)).hex) })
        assertFalse(fleet.targetLink.sent.any { it.contains("secret-of-the-fleet") })
    }

    @Test
    fun `the text of a statement reaches the target unchanged, whatever characters it has`() = runTest {
        val fleet = TwoDaemons(backgroundScope, clockOf(this))
        fleet.start()
        val texts = (0..255).map { "put x a${it.toChar()}b" } + listOf("put x a\r\nget y", "put x a\n\rget y", "\r", "\n")
        texts.forEachIndexed { index, text ->
            assertNull(fleet.gateway.execute(callOf(Access.WRITE, text, id = "r$index")).getError(), "statement $index")
        }
        assertEquals(texts, fleet.target.executed.map { it.text })
    }

    private fun callOf(access: Access, text: String = "put x 1", id: String = "r") =
        TargetCall(TargetId("p"), operationOf(access, text), RequestId(id), OrganisationId("o"), Position.START, deadlineMillis = 1_000)

    private fun operationOf(access: Access, text: String = "put x 1") =
        Operation.Run(Statement(GroupId("g"), access, text, repeatable = false))

    private fun clockOf(scope: TestScope) = object : Clock {
        override fun nowMillis(): Long = scope.currentTime

        override fun wallMillis(): Long = 0
    }

    private companion object {
        private val lost: Result<HttpReply, HttpFailure> = Err(HttpFailure(sent = true, detail = "silence"))

        @JvmStatic
        fun cases(): List<ForwardCase> = Access.entries.flatMap { access ->
            val kind = if (access == Access.READ) ErrorKind.ANSWER_LOST else ErrorKind.OUTCOME_UNKNOWN
            listOf(
                ForwardCase("intact", access, error = null) { Ok(it) },
                ForwardCase("lost", access, kind) { lost },
                ForwardCase("truncated", access, kind) { Ok(it.copy(body = it.body.dropLast(5))) },
                ForwardCase("of another request", access, kind) { Ok(it.copy(body = it.body.replaceFirst("\"r\"", "\"other\""))) },
                ForwardCase("status 500", access, kind) { Ok(HttpReply(500, "{}")) },
            )
        }
    }
}
