package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.owner.Calls.begin
import org.buckthornhub.target.owner.Calls.commit
import org.buckthornhub.target.owner.Calls.inside
import org.buckthornhub.target.owner.Calls.read
import org.buckthornhub.target.owner.Calls.rollBack
import org.buckthornhub.target.owner.Calls.write
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** What an owner answers, case by case. */
internal class OwnerDeciderTest {
    @ParameterizedTest
    @MethodSource("writes", "repeats", "transactions", "reads")
    fun `each call comes to what its case says`(case: OwnerCase) {
        val simulation = OwnerSimulation(faults = case.faults, limits = case.limits, role = case.role, model = case.model)
        case.script(simulation)
        simulation.runUntil(case.untilMillis)
        assertEquals(case.errors, case.errors.mapValues { simulation.errorOf(it.key) })
        case.log?.let { assertEquals(it, simulation.model.log) }
    }

    private companion object {
        private val primaryOnly = OwnerLimits(acknowledgement = WriteAcknowledgement.PRIMARY)

        @JvmStatic
        fun writes(): List<OwnerCase> = listOf(
            OwnerCase("a write under the lease", { submitAt(0, 1) { write("a") } }, mapOf(1L to null), log = listOf("a")),
            OwnerCase(
                "a write without the lease",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.NO_PRIMARY),
                Faults(leaseEndsMillis = 0),
                log = emptyList(),
            ),
            OwnerCase(
                "the lease ends while the connection is opened",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.NO_PRIMARY),
                Faults(leaseEndsMillis = 5),
                log = emptyList(),
            ),
            OwnerCase(
                "the lease ends after the send",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(leaseEndsMillis = 11),
                primaryOnly,
                log = listOf("a"),
            ),
            OwnerCase(
                "the target answers in another term",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                model = ModelTarget(term = Term(2)),
                limits = primaryOnly,
            ),
            OwnerCase(
                "no second instance has it",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(isSecondInstanceSilent = true),
            ),
            OwnerCase(
                "no second instance, where the primary is enough",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to null),
                Faults(isSecondInstanceSilent = true),
                primaryOnly,
            ),
            OwnerCase(
                "a second instance of another term does not count",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(replicaTerm = 2),
            ),
            OwnerCase(
                "no slot is free until the deadline",
                { submitAt(0, 1) { write("a", deadlineMillis = 100) } },
                mapOf(1L to ErrorKind.DEADLINE_EXPIRED),
                Faults(isRefusingSlots = true),
                log = emptyList(),
            ),
        )

        @JvmStatic
        fun repeats(): List<OwnerCase> = listOf(
            OwnerCase("a resend after the answer", resend(0, 100), mapOf(1L to null, 2L to null), log = listOf("a")),
            OwnerCase("a resend in flight", resend(0, 11), mapOf(1L to null, 2L to null), log = listOf("a")),
            OwnerCase(
                "a resend after a lost answer",
                resend(0, 2_500),
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN, 2L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(lostAnswer = 1.0),
                log = listOf("a"),
            ),
            OwnerCase(
                "a resend after a request that was lost",
                resend(0, 2_500),
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN, 2L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(lostRequest = 1.0),
                log = emptyList(),
            ),
            OwnerCase(
                "a resend after the lease has ended",
                resend(0, 1_000),
                mapOf(1L to null, 2L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(leaseEndsMillis = 500),
                log = listOf("a"),
            ),
            OwnerCase(
                "the id of one organisation means nothing to another",
                {
                    submitAt(0, 1) { write("a", id = "x", organisation = "o") }
                    submitAt(50, 2) { write("b", id = "x", organisation = "p") }
                },
                mapOf(1L to null, 2L to null),
                log = listOf("a", "b"),
            ),
            OwnerCase(
                "an id used for another statement",
                {
                    submitAt(0, 1) { write("a", id = "x") }
                    submitAt(50, 2) { write("b", id = "x") }
                },
                mapOf(1L to null, 2L to ErrorKind.ALREADY_RAN),
                log = listOf("a"),
            ),
            OwnerCase(
                "a write that an earlier owner sent",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.ALREADY_RAN),
                model = ModelTarget(log = listOf("a"), requests = setOf(keyOf(write("a")))),
                log = listOf("a"),
            ),
        )

        private fun resend(firstMillis: Long, againMillis: Long): OwnerSimulation.() -> Unit = {
            submitAt(firstMillis, 1) { write("a") }
            submitAt(againMillis, 2) { write("a") }
        }

        @JvmStatic
        fun transactions(): List<OwnerCase> = listOf(
            OwnerCase(
                "begin, two statements, commit and its resend",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inside("t1", "a") }
                    submitAt(50, 3) { inside("t1", "b") }
                    submitAt(50, 4) { commit("t1") }
                    submitAt(200, 5) { commit("t1") }
                },
                mapOf(1L to null, 2L to null, 3L to null, 4L to null, 5L to null),
                log = listOf("a+b"),
            ),
            OwnerCase(
                "another organisation's transaction",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inside("t1", "a", organisation = "p") }
                    submitAt(60, 3) { commit("t1", organisation = "p") }
                    submitAt(90, 4) { commit("t1") }
                },
                mapOf(2L to ErrorKind.TRANSACTION_UNKNOWN, 3L to ErrorKind.TRANSACTION_UNKNOWN, 4L to null),
                log = listOf(""),
            ),
            OwnerCase(
                "left idle",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(20, 2) { inside("t1", "a") }
                    submitAt(1_500, 3) { commit("t1") }
                },
                mapOf(2L to null, 3L to ErrorKind.TRANSACTION_UNKNOWN),
                limits = OwnerLimits(transactionIdleMillis = 1_000),
                log = emptyList(),
            ),
            OwnerCase(
                "open for too long although in use",
                {
                    submitAt(0, 1) { begin() }
                    (1L..5L).forEach { submitAt(it * 500, it + 1) { inside("t1", "a$it") } }
                },
                mapOf(2L to null, 3L to null, 6L to ErrorKind.TRANSACTION_UNKNOWN),
                limits = OwnerLimits(transactionTotalMillis = 2_000),
                log = emptyList(),
            ),
            OwnerCase(
                "its organisation's key is withdrawn",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inside("t1", "a") }
                    tellAt(51, OwnerMessage.EndTransactionsOf(OrganisationId("o")))
                    submitAt(90, 3) { commit("t1") }
                },
                mapOf(2L to ErrorKind.TRANSACTION_ABORTED, 3L to ErrorKind.TRANSACTION_UNKNOWN),
                log = emptyList(),
            ),
            OwnerCase(
                "the lease ends before the commit",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inside("t1", "a") }
                    submitAt(500, 3) { commit("t1") }
                },
                mapOf(2L to null, 3L to ErrorKind.TRANSACTION_ABORTED),
                Faults(leaseEndsMillis = 300),
                log = emptyList(),
            ),
            OwnerCase(
                "a commit that this owner knows nothing of",
                { submitAt(0, 1) { commit("t9") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                log = emptyList(),
            ),
            OwnerCase(
                "rolled back, then used",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inside("t1", "a") }
                    submitAt(60, 3) { rollBack("t1") }
                    submitAt(90, 4) { inside("t1", "b") }
                    submitAt(95, 5) { commit("t1") }
                },
                mapOf(2L to null, 3L to null, 4L to ErrorKind.TRANSACTION_UNKNOWN, 5L to ErrorKind.TRANSACTION_UNKNOWN),
                log = emptyList(),
            ),
        )

        @JvmStatic
        fun reads(): List<OwnerCase> = listOf(
            OwnerCase("a read of a new session", { submitAt(0, 1) { read() } }, mapOf(1L to null), role = TargetRole.REPLICA),
            OwnerCase(
                "a replica that does not catch up in time",
                { submitAt(0, 1) { read(index = 1) } },
                mapOf(1L to ErrorKind.REPLICA_BEHIND),
                Faults(appliedDelayMillis = 1_000),
                role = TargetRole.REPLICA,
                model = ModelTarget(log = listOf("a")),
            ),
            OwnerCase(
                "a replica that catches up within the wait",
                { submitAt(0, 1) { read(index = 1, waitMillis = 50) } },
                mapOf(1L to null),
                Faults(appliedDelayMillis = 20),
                role = TargetRole.REPLICA,
                model = ModelTarget(log = listOf("a")),
            ),
            OwnerCase(
                "an age that nobody can prove",
                { submitAt(0, 1) { read(ageMillis = 60_000) } },
                mapOf(1L to ErrorKind.REPLICA_BEHIND),
                role = TargetRole.REPLICA,
            ),
            OwnerCase("the primary under its lease has no age", { submitAt(0, 1) { read(ageMillis = 0) } }, mapOf(1L to null)),
            OwnerCase(
                "a target that leaves gets nothing new, and a transaction goes on",
                {
                    submitAt(0, 1) { begin() }
                    at200Leaving(this)
                    submitAt(300, 2) { read() }
                    submitAt(300, 3) { inside("t1", "a") }
                    submitAt(320, 4) { commit("t1") }
                },
                mapOf(2L to ErrorKind.NO_TARGET, 3L to null, 4L to null),
                log = listOf("a"),
            ),
        )

        private fun at200Leaving(simulation: OwnerSimulation) =
            simulation.tellAt(200, OwnerMessage.Announced(simulation.state.entry.copy(leaving = true)))
    }
}
