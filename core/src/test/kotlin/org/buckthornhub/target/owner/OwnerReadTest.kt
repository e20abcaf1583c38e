package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.owner.Calls.begin
import org.buckthornhub.target.owner.Calls.commit
import org.buckthornhub.target.owner.Calls.inTransaction
import org.buckthornhub.target.owner.Calls.read
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Reads with a minimum position or a staleness bound, and calls to a leaving target. */
internal class OwnerReadTest {
    @ParameterizedTest
    @MethodSource("reads")
    fun `each call ends as its case expects`(case: OwnerCase): Unit = case.check()

    private companion object {
        @JvmStatic
        fun reads(): List<OwnerCase> = listOf(
            OwnerCase("a read of a new session", { submitAt(0, 1) { read() } }, mapOf(1L to null), role = TargetRole.REPLICA),
            OwnerCase(
                "a replica does not catch up in time",
                { submitAt(0, 1) { read(index = 1) } },
                mapOf(1L to ErrorKind.REPLICA_BEHIND),
                Faults(appliedDelayMillis = 1_000),
                role = TargetRole.REPLICA,
                model = ModelTarget(log = listOf("a")),
            ),
            OwnerCase(
                "a replica catches up within the wait",
                { submitAt(0, 1) { read(index = 1, waitMillis = 50) } },
                mapOf(1L to null),
                Faults(appliedDelayMillis = 20),
                role = TargetRole.REPLICA,
                model = ModelTarget(log = listOf("a")),
            ),
            OwnerCase(
                "a staleness bound that cannot be proven",
                { submitAt(0, 1) { read(ageMillis = 60_000) } },
                mapOf(1L to ErrorKind.REPLICA_BEHIND),
                role = TargetRole.REPLICA,
            ),
            OwnerCase("the primary has no staleness under its lease", { submitAt(0, 1) { read(ageMillis = 0) } }, mapOf(1L to null)),
            OwnerCase(
                "a leaving target gets no new calls and continues its transactions",
                {
                    submitAt(0, 1) { begin() }
                    announceLeavingAt200(this)
                    submitAt(300, 2) { read() }
                    submitAt(300, 3) { inTransaction("t1", "a") }
                    submitAt(320, 4) { commit("t1") }
                },
                mapOf(2L to ErrorKind.NO_TARGET, 3L to null, 4L to null),
                log = listOf("a"),
            ),
        )

        private fun announceLeavingAt200(simulation: OwnerSimulation) =
            simulation.deliverAt(200, OwnerMessage.Announced(simulation.state.entry.copy(leaving = true)))
    }
}
