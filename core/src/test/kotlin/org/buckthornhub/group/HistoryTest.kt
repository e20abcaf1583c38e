package org.buckthornhub.group

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Uses a history in which term 2 starts at 11, term 4 at 8 (so that the end of term 1 is lost as well) and term 5 at 30. */
internal class HistoryTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `positions of different terms are compared by the term starts`(case: HistoryCase) {
        val history = History(if (case.isCommitted) leadership else null)
        assertEquals(case.isLost, history.isLost(case.wanted), "lost")
        assertEquals(case.isContained, history.contains(case.held, case.wanted), "contained")
    }

    private companion object {
        private val leadership =
            GroupLeadership(
                group = GroupId("g"),
                term = Term(5),
                primary = TargetId("p"),
                termStart = LogPosition(30),
                earlierStarts = persistentMapOf(Term(2) to LogPosition(11), Term(4) to LogPosition(8)),
            )

        private fun at(term: Long, index: Long) = Position(Term(term), LogPosition(index))

        @JvmStatic
        fun cases(): List<HistoryCase> = listOf(
            HistoryCase("a new session accepts any data", at(1, 0), Position.START, isContained = true),
            HistoryCase("the same term, ahead", at(5, 31), at(5, 30), isContained = true),
            HistoryCase("the same term, equal", at(5, 30), at(5, 30), isContained = true),
            HistoryCase("the same term, behind", at(5, 30), at(5, 31), isContained = false),
            HistoryCase("an older term never contains writes of a newer one", at(4, 99), at(5, 30), isContained = false),
            HistoryCase("a newer term contains the common prefix", at(5, 31), at(4, 29), isContained = true),
            HistoryCase("a newer term that is behind", at(5, 20), at(4, 29), isContained = false),
            HistoryCase("a write at the start of the next term", at(5, 31), at(4, 30), isContained = false, isLost = true),
            HistoryCase(
                "a write before the start of its next term, lost by a later one",
                at(5, 31),
                at(1, 10),
                isContained = false,
                isLost = true,
            ),
            HistoryCase("a write before every later start", at(5, 31), at(1, 7), isContained = true),
            HistoryCase("a term with an unknown start", at(3, 50), at(1, 7), isContained = false),
            HistoryCase("no committed leadership, the same term", at(1, 7), at(1, 7), isContained = true, isCommitted = false),
            HistoryCase("no committed leadership, another term", at(2, 9), at(1, 7), isContained = false, isCommitted = false),
        )
    }
}
