package org.buckthornhub.group

import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Term 2 began at 11, term 4 at 8 (so that it lost the end of term 1 too), term 5 at 30. */
internal class HistoryTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `positions compare through the starts of terms`(case: HistoryCase) {
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
            HistoryCase("a new session is content with anything", at(1, 0), Position.START, isContained = true),
            HistoryCase("the same term, further", at(5, 31), at(5, 30), isContained = true),
            HistoryCase("the same term, just there", at(5, 30), at(5, 30), isContained = true),
            HistoryCase("the same term, behind", at(5, 30), at(5, 31), isContained = false),
            HistoryCase("an older term never holds a newer one", at(4, 99), at(5, 30), isContained = false),
            HistoryCase("a newer term holds the shared past", at(5, 31), at(4, 29), isContained = true),
            HistoryCase("a newer term that is still behind", at(5, 20), at(4, 29), isContained = false),
            HistoryCase("a write at the start of the next term", at(5, 31), at(4, 30), isContained = false, isLost = true),
            HistoryCase(
                "a write before the start of its next term, lost by a later one",
                at(5, 31),
                at(1, 10),
                isContained = false,
                isLost = true,
            ),
            HistoryCase("a write before every later start", at(5, 31), at(1, 7), isContained = true),
            HistoryCase("a term whose start nobody knows", at(3, 50), at(1, 7), isContained = false),
            HistoryCase("no committed leadership, the same term", at(1, 7), at(1, 7), isContained = true, isCommitted = false),
            HistoryCase("no committed leadership, another term", at(2, 9), at(1, 7), isContained = false, isCommitted = false),
        )
    }
}
