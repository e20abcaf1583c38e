package org.buckthornhub.evacuation

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlClient
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.control.ControlLog
import org.buckthornhub.control.ControlState
import org.buckthornhub.control.EvacuationResult
import org.buckthornhub.control.EvacuationService
import org.buckthornhub.control.Evacuations
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.http.PeerJson
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Orders to control VMs whose leader or its answers are lost, or that know fewer orders than the leader. */
internal class EvacuationServiceTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an order is acknowledged once it is in force, applied once, and answered within a second`(case: OrderCase) = runTest {
        val quorum = FakeQuorum { case.faults.getOrElse(it - 1) { case.faults.lastOrNull() } }
        val service = if (case.isForwarded) EvacuationService(behind(quorum), client(quorum)) else EvacuationService(quorum, noClient)
        val result = service.order(ZoneId(case.zone), isEvacuated = true)
        assertTrue(currentTime < 1_000, "answered after $currentTime ms")
        assertEquals(case.result, result.javaClass)
        assertEquals(case.revision, quorum.state.current().evacuations.revision)
        if (result is EvacuationResult.Accepted) assertTrue(ZoneId(case.zone) in quorum.state.current().evacuations.zones)
    }

    private companion object {
        private val noClient = ControlClient { _, _, _ -> Err(HttpFailure(sent = false, "not used")) }

        /** A follower that has learned of none of the orders. */
        private fun behind(quorum: FakeQuorum) = object : ControlLog by quorum {
            override val state = StateSource { ControlState() }
            override val leadership = StateSource { ControlLeadership(controlTerm = 1) }
        }

        private fun client(quorum: FakeQuorum) = ControlClient { path, body, _ ->
            if (path.endsWith("evacuations")) {
                Ok(HttpReply(status = 200, PeerJson.encodeToString(Evacuations.serializer(), quorum.state.current().evacuations)))
            } else {
                val outcome = quorum.propose(PeerJson.decodeFromString(ControlCommand.serializer(), body)).get()
                outcome?.let { Ok(HttpReply(status = 200, PeerJson.encodeToString(CommandOutcome.serializer(), it))) }
                    ?: Err(HttpFailure(sent = true, "lost"))
            }
        }

        private val accepted = EvacuationResult.Accepted::class.java

        @JvmStatic
        fun cases(): List<OrderCase> = listOf(false, true).flatMap { isForwarded ->
            listOf(
                OrderCase("no fault", listOf(null), accepted, 1, isForwarded = isForwarded),
                OrderCase(
                    "the leader is lost between commit and answer",
                    listOf(QuorumFault.ANSWER_LOST, null),
                    accepted,
                    1,
                    isForwarded = isForwarded,
                ),
                OrderCase(
                    "the leader is lost before the commit, and its successor takes time",
                    List(8) { QuorumFault.NOT_STORED } + null,
                    accepted,
                    1,
                    isForwarded = isForwarded,
                ),
                OrderCase(
                    "another zone is ordered at the same time",
                    listOf(QuorumFault.ORDERED_MEANWHILE, null),
                    accepted,
                    2,
                    isForwarded = isForwarded,
                ),
                OrderCase(
                    "no majority",
                    listOf(QuorumFault.NOT_STORED),
                    EvacuationResult.Unavailable::class.java,
                    0,
                    isForwarded = isForwarded,
                ),
                OrderCase("an empty name", listOf(null), EvacuationResult.Invalid::class.java, 0, zone = "", isForwarded = isForwarded),
                OrderCase("a slash", listOf(null), EvacuationResult.Invalid::class.java, 0, zone = "a/b", isForwarded = isForwarded),
            )
        }
    }
}
