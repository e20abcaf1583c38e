package org.buckthornhub.coordination

import org.buckthornhub.control.ControlDelta
import org.buckthornhub.control.ControlState
import org.buckthornhub.control.Evacuations
import org.buckthornhub.control.MachineState
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.PeerJson
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Logs and messages of versions that know no evacuations. */
internal class OlderEvacuationTest {
    @Test
    fun `nothing that is stored or sent changes while no zone was ever evacuated, and what lacks the fields is read`() {
        val texts = listOf(
            PeerJson.encodeToString(MachineState.serializer(), MachineState()),
            PeerJson.encodeToString(ControlState.serializer(), ControlState()),
            PeerJson.encodeToString(ControlDelta.serializer(), ControlDelta(1, 2, 0, 0)),
            PeerJson.encodeToString(ProxyReport.serializer(), ProxyReport(VmId("vm"))),
            PeerJson.encodeToString(ProxyReportAnswer.serializer(), ProxyReportAnswer()),
        )
        texts.forEach { assertFalse("evacuat" in it, it) }
        assertEquals(Evacuations(), PeerJson.decodeFromString(MachineState.serializer(), texts[0]).control.evacuations)
        assertEquals(Evacuations(), PeerJson.decodeFromString(ControlState.serializer(), texts[1]).evacuations)
        assertEquals(null, PeerJson.decodeFromString(ControlDelta.serializer(), texts[2]).evacuations)
        assertEquals(0, PeerJson.decodeFromString(ProxyReport.serializer(), texts[3]).evacuationRevision)
        assertEquals(null, PeerJson.decodeFromString(ProxyReportAnswer.serializer(), texts[4]).evacuations)
    }
}
