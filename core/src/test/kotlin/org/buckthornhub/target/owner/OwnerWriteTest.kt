package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.Term
import org.buckthornhub.target.owner.Calls.write
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Writes under the lease, and resent requests. */
internal class OwnerWriteTest {
    @ParameterizedTest
    @MethodSource("writes", "repeats")
    fun `each call ends as its case expects`(case: OwnerCase): Unit = case.check()

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
                "no second instance receives the write",
                { submitAt(0, 1) { write("a") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(isSecondInstanceSilent = true),
            ),
            OwnerCase(
                "no second instance receives the write, and the primary suffices",
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
                "a connection that stops answering while idle is closed before a call uses it",
                {
                    submitAt(0, 1) { write("a") }
                    submitAt(2_500, 2) { write("b") }
                    submitAt(2_500, 3) { write("c") }
                },
                mapOf(1L to null, 2L to null, 3L to null),
                Faults(silentFromMillis = 500),
                untilMillis = 6_000,
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
            OwnerCase("a resend while the first send is in flight", resend(0, 11), mapOf(1L to null, 2L to null), log = listOf("a")),
            OwnerCase(
                "a resend after a lost answer",
                resend(0, 2_500),
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN, 2L to ErrorKind.OUTCOME_UNKNOWN),
                Faults(lostAnswer = 1.0),
                log = listOf("a"),
            ),
            OwnerCase(
                "a resend after a lost request",
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
                "two organisations use the same request id",
                {
                    submitAt(0, 1) { write("a", id = "x", organisation = "o") }
                    submitAt(50, 2) { write("b", id = "x", organisation = "p") }
                },
                mapOf(1L to null, 2L to null),
                log = listOf("a", "b"),
            ),
            OwnerCase(
                "a request id is reused for another statement",
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
    }
}
