package org.buckthornhub.observe

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.control.ControlSettings
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.explain.ExplainAnswer
import org.buckthornhub.explain.ExplainEvent
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.WireJson
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.proxy.ProxyResponse
import org.buckthornhub.proxy.TraceContext
import org.buckthornhub.session.Session
import org.buckthornhub.settings.LogFormat
import org.buckthornhub.settings.Settings
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.TargetId
import java.io.File
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Explain records, metrics and spans of served and refused requests. */
internal class ObserveAssemblyTest {
    private val traceFile = File.createTempFile("spans", ".jsonl").also { it.deleteOnExit() }

    @Test
    fun `explain returns the route of a served request and the error of a refused one`() = runTest {
        val observe = startedAssembly(ObserveOptions())
        request(observe, "authority", "1", served)
        request(observe, "adeyemi", "2", refused)
        observe.events.offer(ExplainEvent.Other(GroupId("ledger"), 1, "lease renewed late"))
        runCurrent()
        val first = explain(observe, mapOf("trace" to traceOf("1")))
        assertEquals(listOf("routed to r1: replica in zone a"), first.requests.single().steps.takeLast(1).map { it.detail })
        assertEquals(listOf(12L), first.requests.map { it.waitedMillis })
        val second = explain(observe, mapOf("organisation" to "adeyemi")).requests.single()
        assertEquals(ErrorKind.RATE_EXCEEDED to 40L, second.error to second.retryAfterMillis)
        assertEquals(1, explain(observe, mapOf("group" to "ledger")).events.size)
    }

    @Test
    fun `explain refuses a request without the operator secret`() = runTest {
        val observe = startedAssembly(ObserveOptions())
        listOf(null, "Bearer wrong", "").forEach { header ->
            assertEquals(403, get(observe, "/v1/operator/explain", emptyMap(), header).status)
        }
        assertEquals(
            403,
            get(startedAssembly(ObserveOptions(), secret = null), "/v1/operator/explain", emptyMap(), "Bearer $SECRET").status,
        )
    }

    @Test
    fun `metrics use at most the configured number of organisation labels`() = runTest {
        val observe = startedAssembly(ObserveOptions(maxOrganisations = 1))
        request(observe, "authority", "1", served)
        request(observe, "adeyemi", "2", refused)
        request(observe, "third", "3", refused)
        runCurrent()
        val text = get(observe, "/metrics", emptyMap(), null).body
        assertContains(text, "buckthornhub_reads_total{group=\"ledger\",served_by=\"replica\"} 1.0")
        assertContains(text, "buckthornhub_rate_refusals_total{organisation=\"other\"} 2.0")
        assertFalse("adeyemi" in text)
    }

    @Test
    fun `a sampled request yields a span for the request and each step`() = runTest {
        val observe = startedAssembly(ObserveOptions(traceFile = traceFile.path))
        request(observe, "authority", "1", served)
        runCurrent()
        val lines = traceFile.readLines()
        assertEquals(4, lines.size)
        assertEquals(
            listOf("entry", "admission", "route", "execution"),
            lines.map {
                Regex("\"name\":\"(\\w+)\"").find(it)?.groupValues?.get(1)
            },
        )
        assertEquals(3, lines.count { "\"parentSpanId\":\"${"1".repeat(16)}\"" in it })
    }

    private fun TestScope.startedAssembly(options: ObserveOptions, secret: String? = SECRET) =
        ObserveAssembly(settings(options, secret), SystemClock).also { it.start(backgroundScope) }

    private fun request(observe: ObserveAssembly, organisation: String, digit: String, result: Result<ProxyResponse, ProxyError>) {
        val statement = Statement(GroupId("ledger"), Access.READ, "get x", repeatable = true)
        val trace = TraceContext(traceOf(digit), digit.repeat(16), isSampled = true)
        val request = ProxyRequest(null, null, Operation.Run(statement), RequestId(digit), 0, trace.toHeader())
        observe.listener.requestStarted(request)
        observe.listener.authenticated(request, OrganisationId(organisation))
        if (result.isOk) {
            observe.listener.admitted(request, waitedMillis = 12)
            observe.listener.routed(request, TargetId("r1"), "replica in zone a")
        }
        observe.listener.requestEnded(request, result)
    }

    private suspend fun explain(observe: ObserveAssembly, query: Map<String, String>): ExplainAnswer =
        WireJson.decodeFromString(ExplainAnswer.serializer(), get(observe, "/v1/operator/explain", query, "Bearer $SECRET").body)

    private suspend fun get(observe: ObserveAssembly, path: String, query: Map<String, String>, authorization: String?): HttpReply {
        val headers = authorization?.let { mapOf("authorization" to it) }.orEmpty()
        return observe.routes.single { it.path == path }.handler.handle(HttpRequest("GET", path, emptyMap(), query, headers, ""))
    }

    private fun settings(options: ObserveOptions, secret: String?) = Settings(
        vm = VmId("vm1"),
        zone = ZoneId("a"),
        host = "127.0.0.1",
        port = 1,
        fleetSecret = "secret-of-the-tests",
        initialConfiguration = null,
        defaultDeadlineMillis = 1,
        maxBodyBytes = 1,
        logFormat = LogFormat.TEXT,
        observe = options,
        control = ControlSettings(operatorSecret = secret),
    )

    private companion object {
        const val SECRET = "operators-of-the-tests"
        val served = Ok(ProxyResponse(Answer("v", Position.START, TargetId("r1"), fromReplica = true), Session(null)))
        val refused = Err(ProxyError(ErrorKind.RATE_EXCEEDED, "used up", retryAfterMillis = 40))

        fun traceOf(digit: String) = digit.repeat(32)
    }
}
