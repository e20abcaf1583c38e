package org.buckthornhub.load.check

import org.buckthornhub.load.check.Histories.append
import org.buckthornhub.load.check.Histories.insert
import org.buckthornhub.load.check.Histories.limited
import org.buckthornhub.load.check.Histories.log
import org.buckthornhub.load.check.Histories.logOf
import org.buckthornhub.load.check.Histories.lost
import org.buckthornhub.load.check.Histories.read
import org.buckthornhub.load.check.Histories.served
import org.buckthornhub.load.check.Histories.transaction
import org.buckthornhub.load.check.Histories.unknown
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** The checks see each sort of broken promise, and see none in histories that keep them. */
internal class FindingsTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `counts violations`(case: CheckCase) {
        val findings = Findings.of(Histories.evidence(case.attempts, case.logs, case.right))
        assertEquals(
            listOf(
                case.readYourWrites,
                case.lostWrites,
                case.doubledWrites,
                case.misdirectedAnswers,
                case.mixedTransactions,
                case.wrongfulRefusals,
            ),
            findings.bySort().values.map { it.size },
            findings.toString(),
        )
    }

    private companion object {
        val right = OrganisationRight("org", ratePerSecond = 10.0, burst = 2)

        fun refused(number: Int, atMillis: Long) = append(number, atMillis, limited)

        @JvmStatic
        fun cases(): List<CheckCase> = correct + wrong + transactions + limits

        val correct =
            listOf(
                CheckCase("a read sees the write before it", listOf(append(1, 0), read("org/s.1", 10)), listOf(log(1))),
                CheckCase("a read beside an unfinished write", listOf(append(1, 0), read(null, 3)), listOf(log(1))),
                CheckCase("an unknown write that did not run", listOf(append(1, 0, unknown), read(null, 10)), listOf(log())),
                CheckCase("an unknown write that ran", listOf(append(1, 0, unknown), read("org/s.1", 10)), listOf(log(1))),
                CheckCase("a resend that ran once", listOf(append(1, 0, limited), append(1, 50)), listOf(log(1))),
                CheckCase("a replica that is behind", listOf(append(1, 0)), listOf(log(role = TargetRole.REPLICA), log(1))),
                CheckCase(
                    "one booking, one rejection",
                    listOf(insert("a", "k", 0), insert("b", "k", 10, unknown)),
                    listOf(logOf(listOf("a" to "insert k a"))),
                ),
                CheckCase(
                    "a request that was renamed on the way",
                    listOf(append(1, 0)),
                    listOf(logOf(listOf("org/r1" to "append org/s/0 org/s.1"))),
                ),
            )

        val wrong =
            listOf(
                CheckCase("a read misses an own write", listOf(append(1, 0), read(null, 10)), listOf(log(1)), readYourWrites = 1),
                CheckCase(
                    "a read misses the later of two",
                    listOf(append(1, 0), append(2, 10, served("org/s.1,org/s.2")), read("org/s.1", 20)),
                    listOf(log(1, 2)),
                    readYourWrites = 1,
                ),
                CheckCase(
                    "a loss that the session was told of is a lost write, not a wrong read",
                    listOf(append(1, 0), append(2, 10, lost), read(null, 20).copy(epoch = 1)),
                    listOf(log()),
                    lostWrites = 1,
                ),
                CheckCase("an acknowledged write is nowhere", listOf(append(1, 0)), listOf(log()), lostWrites = 1),
                CheckCase(
                    "an acknowledged write is only on the replaced primary",
                    listOf(append(1, 0)),
                    listOf(log(1, term = 1), log(term = 2)),
                    lostWrites = 1,
                ),
                CheckCase("a request ran twice", listOf(append(1, 0)), listOf(log(1, 1)), doubledWrites = 1),
                CheckCase("an unknown write ran twice", listOf(append(1, 0, unknown)), listOf(log(1, 1)), doubledWrites = 1),
                CheckCase(
                    "a value ran under two requests",
                    listOf(append(1, 0)),
                    listOf(logOf(listOf("r1" to "append org/s/0 org/s.1", "r9" to "append org/s/0 org/s.1"))),
                    doubledWrites = 1,
                ),
                CheckCase(
                    "two sessions got one booking",
                    listOf(insert("a", "k", 0), insert("b", "k", 10)),
                    listOf(logOf(listOf("a" to "insert k a", "b" to "insert k b"))),
                    doubledWrites = 1,
                ),
                CheckCase("a read holds foreign data", listOf(read("other/s.7", 0)), listOf(log()), misdirectedAnswers = 1),
                CheckCase(
                    "a read holds data of another session",
                    listOf(read("org/t.7", 0)),
                    listOf(log()),
                    misdirectedAnswers = 1,
                ),
                CheckCase(
                    "a write got the answer of an older one",
                    listOf(append(2, 10, served("org/s.1"))),
                    listOf(log(1, 2)),
                    misdirectedAnswers = 1,
                ),
            )

        val transactions =
            listOf(
                CheckCase("a whole transaction", transaction(1), listOf(logOf(listOf("r1" to "append org/s/0 org/s.1")))),
                CheckCase(
                    "a read misses a committed write",
                    transaction(1) + read(null, 30),
                    listOf(log(1)),
                    readYourWrites = 1,
                ),
                CheckCase("a lost commit", transaction(1), listOf(log()), lostWrites = 1),
                CheckCase(
                    "a commit holds a statement of another transaction",
                    transaction(1),
                    listOf(logOf(listOf("r1" to "append org/t/0 org/t.1"))),
                    lostWrites = 1,
                    mixedTransactions = 1,
                ),
            )

        val limits =
            listOf(
                CheckCase("a refusal within the burst", listOf(refused(1, 0)), listOf(log()), right, wrongfulRefusals = 1),
                CheckCase(
                    "a refusal beyond the burst",
                    listOf(append(1, 0), append(2, 1), refused(3, 2)),
                    listOf(log(1, 2)),
                    right,
                ),
                CheckCase(
                    "a refusal after the rate has given a token back",
                    listOf(append(1, 0), append(2, 1), refused(3, 102)),
                    listOf(log(1, 2)),
                    right,
                    wrongfulRefusals = 1,
                ),
                CheckCase(
                    "refused requests count as sent",
                    listOf(append(1, 0), append(2, 1), refused(3, 2), refused(4, 102)),
                    listOf(log(1, 2)),
                    right,
                ),
            )
    }
}
