package org.buckthornhub.standin.instance

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.standin.fault.Fault
import org.buckthornhub.standin.instance.GroupStep.Follow
import org.buckthornhub.standin.instance.GroupStep.Inject
import org.buckthornhub.standin.instance.GroupStep.Pass
import org.buckthornhub.standin.instance.GroupStep.Promote
import org.buckthornhub.standin.instance.GroupStep.Run
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Tests replication, promotion and faults in one group. */
internal class GroupTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the instances hold the expected logs`(case: GroupCase) {
        val group = FakeGroup()
        case.steps.forEach { group.execute(it) }
        assertEquals(case.received, group.states.map { state -> state.log.flatMap { it.commands }.joinToString(";") { it.text } })
        assertEquals(case.applied, group.states.map { it.applied.value })
        assertEquals(case.discarded, group.states.map { it.discarded.size })
    }

    private companion object {
        const val A = "put a 1"
        const val B = "put b 2"
        const val C = "put c 3"

        @JvmStatic
        fun cases(): List<GroupCase> = replication + promotion + faults

        val replication =
            listOf(
                GroupCase("replicas follow", listOf(Run(1, A, "1"), Run(2, "get a", "1")), listOf(A, A, A), listOf(1, 1, 1)),
                GroupCase(
                    "a replica refuses writes",
                    listOf(Run(2, A, fault = "NOT_PRIMARY")),
                    listOf("", "", ""),
                    listOf(0, 0, 0),
                ),
                GroupCase(
                    "received but not yet applied",
                    listOf(Inject(2, Fault.Lag(applyMillis = 50)), Run(1, A, "1"), Pass(49), Run(2, "get a", null)),
                    listOf(A, A, A),
                    listOf(1, 0, 1),
                ),
                GroupCase(
                    "applied after the apply lag",
                    listOf(Inject(2, Fault.Lag(applyMillis = 50)), Run(1, A, "1"), Pass(50), Run(2, "get a", "1")),
                    listOf(A, A, A),
                    listOf(1, 1, 1),
                ),
                GroupCase(
                    "not received before the receive lag",
                    listOf(Inject(2, Fault.Lag(receiveMillis = 50)), Run(1, A, "1"), Run(1, B, "2"), Pass(49)),
                    listOf("$A;$B", "", "$A;$B"),
                    listOf(2, 0, 2),
                ),
                GroupCase(
                    "received after the receive lag",
                    listOf(Inject(2, Fault.Lag(receiveMillis = 50)), Run(1, A, "1"), Run(1, B, "2"), Pass(50)),
                    listOf("$A;$B", "$A;$B", "$A;$B"),
                    listOf(2, 2, 2),
                ),
                GroupCase(
                    "a rejected insert writes no log entry",
                    listOf(Run(1, "insert a 1", "1"), Run(1, "insert a 2", fault = "REJECTED")),
                    List(3) { "insert a 1" },
                    listOf(1, 1, 1),
                ),
            )

        val promotion =
            listOf(
                GroupCase(
                    "a promoted replica first applies what it received",
                    listOf(Inject(2, Fault.Lag(applyMillis = 1_000)), Run(1, A, "1"), Promote(2, 2), Run(2, "get a", "1"), Run(2, B, "2")),
                    listOf(A, "$A;$B", "$A;$B"),
                    listOf(1, 2, 2),
                ),
                GroupCase(
                    "a term that is not newer is refused",
                    listOf(Promote(2, 1, fault = "STALE_TERM"), Promote(2, 2), Promote(2, 2, fault = "STALE_TERM")),
                    listOf("", "", ""),
                    listOf(0, 0, 0),
                ),
                GroupCase(
                    "a former primary discards its diverging tail when it follows the new one",
                    listOf(
                        Run(1, A, "1"),
                        Inject(1, Fault.CutOff()),
                        Run(1, B, "2"),
                        Promote(2, 2),
                        Run(2, C, "3"),
                        Pass(1_000),
                        Inject(1, Fault.Healed),
                        Follow(1, primary = 2, term = 2),
                        Run(1, "get b", null),
                    ),
                    listOf("$A;$C", "$A;$C", "$A;$C"),
                    listOf(2, 2, 2),
                    listOf(1, 0, 0),
                ),
                GroupCase(
                    "a diverging tail is discarded even if the new primary has written nothing yet",
                    listOf(Inject(1, Fault.CutOff()), Run(1, B, "2"), Promote(2, 2), Inject(1, Fault.Healed), Follow(1, 2, term = 2)),
                    listOf("", "", ""),
                    listOf(0, 0, 0),
                    listOf(1, 0, 0),
                ),
                GroupCase(
                    "a follow request of an older term is refused",
                    listOf(Promote(2, 3), Follow(2, primary = 1, term = 2, fault = "STALE_TERM"), Run(2, A, "1")),
                    listOf("", A, A),
                    listOf(0, 1, 1),
                ),
            )

        val faults =
            listOf(
                GroupCase(
                    "a primary that is cut off continues to accept writes",
                    listOf(Inject(1, Fault.CutOff()), Promote(2, 2), Pass(1_000), Run(1, A, "1")),
                    listOf(A, "", ""),
                    listOf(1, 0, 0),
                ),
                GroupCase(
                    "a cut between zones does not stop replication within a zone",
                    listOf(Inject(1, Fault.CutOff(ZoneId("z1"))), Inject(2, Fault.CutOff(ZoneId("z2"))), Run(1, A, "1")),
                    listOf(A, "", A),
                    listOf(1, 0, 1),
                ),
                GroupCase(
                    "a replica requests missing entries",
                    listOf(Inject(3, Fault.CutOff()), Run(1, A, "1"), Run(1, B, "2"), Inject(3, Fault.Healed), Pass(100)),
                    listOf("$A;$B", "$A;$B", "$A;$B"),
                    listOf(2, 2, 2),
                ),
                GroupCase(
                    "a killed primary restarts as a replica with its log",
                    listOf(
                        Run(1, A, "1"),
                        Inject(1, Fault.Killed),
                        Promote(2, 2),
                        Run(2, B, "2"),
                        Inject(1, Fault.Restarted),
                        Run(1, C, fault = "NOT_PRIMARY"),
                        Pass(100),
                    ),
                    listOf("$A;$B", "$A;$B", "$A;$B"),
                    listOf(2, 2, 2),
                ),
            )
    }
}
