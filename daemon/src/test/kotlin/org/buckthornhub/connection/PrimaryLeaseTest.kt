package org.buckthornhub.connection

import kotlinx.coroutines.test.runTest
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.statement.Access
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Sessions on a primary that goes on leading after its successor was promoted. */
internal class PrimaryLeaseTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no answer of a replaced primary is passed on as a success`(case: PrimaryLeaseCase) = runTest {
        lateinit var fleet: FakeFleet
        val primary = FakeInstance("old", TargetRole.PRIMARY, applied = 7) {
            case.duringStatement(fleet)
            null
        }
        fleet = FakeFleet(this, listOf(primary, FakeInstance("new", TargetRole.REPLICA, applied = 7)), case.isFenced).also { it.start() }
        val caller = fleet.caller()
        caller.open("latest", "key")
        case.change(fleet)
        val statement = if (case.access == Access.WRITE) "WRITE 1 x" else "READ 1"
        val reply = caller.ask(ClientStatement.Run(case.access, statement))
        assertEquals(case.answer, (reply as? ClientReply.Failed)?.error?.kind)
        assertEquals(case.ran, primary.ran.size)
    }

    private companion object {
        private val designate: FakeFleet.() -> Unit = { designate("new") }

        @JvmStatic
        fun cases(): List<PrimaryLeaseCase> = listOf(
            PrimaryLeaseCase(
                "baseline without a lease: a write is acknowledged after the replacement",
                Access.WRITE,
                isFenced = true,
                duringStatement = designate,
                answer = null,
                ran = 1,
            ),
            PrimaryLeaseCase("a write under a lease", Access.WRITE, answer = null, ran = 1),
            PrimaryLeaseCase("a read under a lease", Access.READ, answer = null, ran = 1),
            PrimaryLeaseCase(
                "a write that is running when the primary is replaced",
                Access.WRITE,
                duringStatement = designate,
                answer = ErrorKind.OUTCOME_UNKNOWN,
                ran = 1,
            ),
            PrimaryLeaseCase(
                "a read that is running when the primary is replaced",
                Access.READ,
                duringStatement = designate,
                answer = ErrorKind.NO_PRIMARY,
                ran = 1,
            ),
            PrimaryLeaseCase("a write after the replacement", Access.WRITE, change = designate, answer = ErrorKind.NO_PRIMARY, ran = 0),
            PrimaryLeaseCase("a read after the replacement", Access.READ, change = designate, answer = ErrorKind.NO_PRIMARY, ran = 0),
            PrimaryLeaseCase(
                "a write by a daemon that was suspended for longer than its lease",
                Access.WRITE,
                change = { suspend(millis = 2_500) },
                answer = ErrorKind.NO_PRIMARY,
                ran = 0,
            ),
        )
    }
}
