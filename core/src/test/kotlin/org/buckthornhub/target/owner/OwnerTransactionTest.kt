package org.buckthornhub.target.owner

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.target.owner.Calls.begin
import org.buckthornhub.target.owner.Calls.commit
import org.buckthornhub.target.owner.Calls.inTransaction
import org.buckthornhub.target.owner.Calls.rollBack
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Transactions from their begin to each kind of end. */
internal class OwnerTransactionTest {
    @ParameterizedTest
    @MethodSource("transactions")
    fun `each call ends as its case expects`(case: OwnerCase): Unit = case.check()

    private companion object {
        @JvmStatic
        fun transactions(): List<OwnerCase> = listOf(
            OwnerCase(
                "begin, two statements, a commit and its resend",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inTransaction("t1", "a") }
                    submitAt(50, 3) { inTransaction("t1", "b") }
                    submitAt(50, 4) { commit("t1") }
                    submitAt(200, 5) { commit("t1") }
                },
                mapOf(1L to null, 2L to null, 3L to null, 4L to null, 5L to null),
                log = listOf("a+b"),
            ),
            OwnerCase(
                "a transaction of another organisation",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inTransaction("t1", "a", organisation = "p") }
                    submitAt(60, 3) { commit("t1", organisation = "p") }
                    submitAt(90, 4) { commit("t1") }
                },
                mapOf(2L to ErrorKind.TRANSACTION_UNKNOWN, 3L to ErrorKind.TRANSACTION_UNKNOWN, 4L to null),
                log = listOf(""),
            ),
            OwnerCase(
                "the transaction is left idle",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(20, 2) { inTransaction("t1", "a") }
                    submitAt(1_500, 3) { commit("t1") }
                },
                mapOf(2L to null, 3L to ErrorKind.TRANSACTION_UNKNOWN),
                limits = OwnerLimits(transactionIdleMillis = 1_000),
                log = emptyList(),
            ),
            OwnerCase(
                "the transaction is open for too long although in use",
                {
                    submitAt(0, 1) { begin() }
                    (1L..5L).forEach { submitAt(it * 500, it + 1) { inTransaction("t1", "a$it") } }
                },
                mapOf(2L to null, 3L to null, 6L to ErrorKind.TRANSACTION_UNKNOWN),
                limits = OwnerLimits(transactionTotalMillis = 2_000),
                log = emptyList(),
            ),
            OwnerCase(
                "the key of its organisation is withdrawn",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inTransaction("t1", "a") }
                    deliverAt(51, OwnerMessage.EndTransactionsOf(OrganisationId("o")))
                    submitAt(90, 3) { commit("t1") }
                },
                mapOf(2L to ErrorKind.TRANSACTION_ABORTED, 3L to ErrorKind.TRANSACTION_UNKNOWN),
                log = emptyList(),
            ),
            OwnerCase(
                "the lease ends before the commit",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inTransaction("t1", "a") }
                    submitAt(500, 3) { commit("t1") }
                },
                mapOf(2L to null, 3L to ErrorKind.TRANSACTION_ABORTED),
                Faults(leaseEndsMillis = 300),
                log = emptyList(),
            ),
            OwnerCase(
                "a commit of a transaction that this owner does not know",
                { submitAt(0, 1) { commit("t9") } },
                mapOf(1L to ErrorKind.OUTCOME_UNKNOWN),
                log = emptyList(),
            ),
            OwnerCase(
                "the transaction is used after its rollback",
                {
                    submitAt(0, 1) { begin() }
                    submitAt(50, 2) { inTransaction("t1", "a") }
                    submitAt(60, 3) { rollBack("t1") }
                    submitAt(90, 4) { inTransaction("t1", "b") }
                    submitAt(95, 5) { commit("t1") }
                },
                mapOf(2L to null, 3L to null, 4L to ErrorKind.TRANSACTION_UNKNOWN, 5L to ErrorKind.TRANSACTION_UNKNOWN),
                log = emptyList(),
            ),
        )
    }
}
