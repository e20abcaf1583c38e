package org.buckthornhub.standin.network

import io.ktor.http.HttpMethod
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.HttpRequest
import org.buckthornhub.http.Route
import org.buckthornhub.standin.fault.Fault
import org.buckthornhub.standin.fault.Faults
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Tests which callers reach an instance and with what delay. */
internal class NetworkGateTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a request is answered after the network delay or dropped`(case: GateCase) = runTest {
        val gate = NetworkGate(ZoneId("z1"), betweenZonesMillis = 1) { case.faults }
        val route = gate.wrap(Route(HttpMethod.Get, "/status") { HttpReply(200, "{}") })
        val headers = case.zone?.let { mapOf("x-zone" to it) }.orEmpty()
        val reply =
            withTimeoutOrNull(60_000) { route.handler.handle(HttpRequest("GET", "/status", emptyMap(), emptyMap(), headers, "")) }
        assertEquals(case.answeredAtMillis, reply?.let { currentTime })
    }

    private companion object {
        val cutOff = Faults(cutOff = Fault.CutOff())
        val cutBetweenZones = Faults(cutOff = Fault.CutOff(ZoneId("z1")))

        @JvmStatic
        fun cases(): List<GateCase> = listOf(
            GateCase("a caller that sends no zone"),
            GateCase("a caller of the same zone", zone = "z1"),
            GateCase("a caller of another zone is delayed in both directions", zone = "z2", answeredAtMillis = 2),
            GateCase("cut off", cutOff, zone = "z1", answeredAtMillis = null),
            GateCase("cut off from a caller that sends no zone", cutBetweenZones, answeredAtMillis = null),
            GateCase("cut off from the other zone", cutBetweenZones, zone = "z2", answeredAtMillis = null),
            GateCase("cut off except from its own zone", cutBetweenZones, zone = "z1"),
            GateCase("silent", Faults(silent = Fault.Silent()), zone = "z1", answeredAtMillis = null),
            GateCase("killed", Faults(killed = true), zone = "z1", answeredAtMillis = null),
            GateCase("leaving, still serving", Faults(leaving = true)),
        )
    }
}
