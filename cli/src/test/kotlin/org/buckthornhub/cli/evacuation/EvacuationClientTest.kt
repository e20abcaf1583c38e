package org.buckthornhub.cli.evacuation

import com.github.michaelbull.result.mapBoth
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpServer
import org.buckthornhub.http.Route
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.ServerSocket
import kotlin.test.assertEquals

/** Orders whose answer is lost or refused: reported as done although they are not, or not repeated. */
internal class EvacuationClientTest {
    @ParameterizedTest
    @CsvSource("START, 200, 1, DONE", "END, 200, 1, DONE", "SHOW, 200, 1, DONE", "START, 503 503 200, 3, DONE", "START, 400, 1, REFUSED")
    fun `an order is repeated until it is acknowledged or refused`(
        action: EvacuationAction,
        statuses: String,
        requests: Int,
        exit: ExitCode,
    ) = runBlocking {
        val port = ServerSocket(0).use { it.localPort }
        var asked: List<String> = emptyList()
        val route = Route(HttpMethod(action.method), "/v1/evacuations/{zone}") {
            asked = asked + it.pathParts["zone"].orEmpty()
            HttpReply(statuses.split(' ')[asked.size - 1].toInt(), ERROR)
        }
        val server = HttpServer("127.0.0.1", port, listOf(route)).also { it.start() }
        val result = EvacuationClient("127.0.0.1:$port").send(action, "a b")
        server.stop(graceMillis = 100)
        assertEquals(exit, result.mapBoth(success = { ExitCode.DONE }, failure = { it.exitCode }))
        assertEquals(List(requests) { "a b" }, asked)
    }

    private companion object {
        private const val ERROR =
            """{"kind":"NO_QUORUM","detail":"d","execution":"UNKNOWN","repeatMayHelp":true,"advice":"a"}"""
    }
}
