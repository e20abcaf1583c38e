package org.buckthornhub.connection

import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import org.buckthornhub.error.Execution
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

/** Writes of several attempts, where one that may have run follows others that did not. */
internal class RefusalAfterUnknownOutcomeTest {
    @ParameterizedTest
    @MethodSource("writes", "commits")
    fun `a write that may have run is not refused as if it had not`(case: UnknownOutcomeCase) = runTest {
        lateinit var fleet: FakeFleet
        var sends = 0
        fun instance(name: String, other: String) = FakeInstance(name, TargetRole.PRIMARY, applied = 7) { text ->
            val isLast = text == "COMMIT" || text.startsWith("WRITE") && case.statements.size <= 2
            val step = if (isLast) case.steps.getOrNull(sends) else null
            if (isLast) sends += 1
            if (step?.replaces == true) fleet.designate(other)
            step?.fault
        }
        val instances = listOf(instance("a", other = "b"), instance("b", other = "a"))
        fleet = FakeFleet(this, instances, isFenced = false).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        case.statements.dropLast(1).forEach { assertIs<ClientReply.Completed>(caller.ask(it)) }
        val error = (caller.ask(case.statements.last()) as? ClientReply.Failed)?.error
        val commits = instances.sumOf { it.commits }
        val isPromise = error != null && ErrorTable.answerTo(error.kind).execution != Execution.UNKNOWN
        assertFalse(isPromise && commits > 0, "$commits commits in spite of ${error?.kind}: ${error?.detail}")
        assertEquals(case.answer, error?.kind, error?.detail)
        assertEquals(case.steps.size, sends)
        assertEquals(case.commits, commits)
    }

    private companion object {
        private val write = ClientStatement.Run(Access.WRITE, "WRITE 1 x")
        private val prepared = listOf(
            ClientStatement.Prepare("s1", PreparedStatement(Access.WRITE, "WRITE q1")),
            ClientStatement.Execute("s1", "1 x"),
        )
        private val transaction = listOf(ClientStatement.Begin(readOnly = false), write, ClientStatement.Commit)
        private val served = AttemptStep("served")
        private val notRun = listOf(
            AttemptStep("refused by a replaced primary", FakeFault.NOT_LEADING),
            AttemptStep("refused by another instance", FakeFault.OTHER_INSTANCE),
            AttemptStep("its name is unknown there", FakeFault.PREPARED_UNKNOWN),
            AttemptStep("its connection is lost before it is sent", FakeFault.NOT_SENT),
        )

        /** Each step with the answer and the commits of a write that meets it. */
        private val mayHaveRun = listOf(
            Triple(AttemptStep("its answer is lost", FakeFault.ANSWER_LOST), ErrorKind.OUTCOME_UNKNOWN, 1),
            Triple(AttemptStep("no answer", FakeFault.SILENT), ErrorKind.OUTCOME_UNKNOWN, 0),
            Triple(AttemptStep("the primary is replaced before the answer", replaces = true), ErrorKind.OUTCOME_UNKNOWN, 1),
            Triple(AttemptStep("answered as in doubt", FakeFault.IN_DOUBT), ErrorKind.OUTCOME_UNKNOWN, 1),
            Triple(AttemptStep("answered as timed out", FakeFault.TIMED_OUT), ErrorKind.STATEMENT_TIMED_OUT, 1),
            Triple(AttemptStep("answered as failed", FakeFault.FAILED), ErrorKind.STATEMENT_FAILED, 0),
            Triple(AttemptStep("answered with an unknown code", FakeFault.OTHER_CODE), ErrorKind.STATEMENT_FAILED, 1),
        )

        private fun cases(name: String, statements: List<ClientStatement>, before: List<AttemptStep>) =
            mayHaveRun.map { (last, answer, commits) -> UnknownOutcomeCase(name, statements, before + last, answer, commits) }

        @JvmStatic
        fun writes(): List<UnknownOutcomeCase> =
            listOf("a plain write" to listOf(write), "a prepared write" to prepared).flatMap { (name, statements) ->
                cases(name, statements, emptyList()) +
                    notRun.flatMap { cases(name, statements, listOf(it)) } +
                    cases(name, statements, listOf(notRun.last(), notRun.last())) +
                    notRun.map { UnknownOutcomeCase(name, statements, listOf(it, served), answer = null, commits = 1) } +
                    UnknownOutcomeCase(name, statements, notRun.takeLast(1) + busy, ErrorKind.QUEUE_FULL, commits = 0)
            }

        @JvmStatic
        fun commits(): List<UnknownOutcomeCase> = cases("the commit of a transaction", transaction, emptyList()).map {
            // A commit that fails may have been kept, unlike a single write in this model.
            if (it.answer == ErrorKind.STATEMENT_FAILED) it.copy(commits = 1) else it
        }

        private val busy = AttemptStep("refused as too busy", FakeFault.BUSY)
    }
}
