package org.buckthornhub.horizon

import org.buckthornhub.statement.Access
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class AnsweredStatementTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `only what an instance without the lead refuses proves the primary`(case: Pair<AnsweredStatement, Boolean>) {
        val (statement, provesPrimary) = case
        assertEquals(provesPrimary, statement.provesPrimary)
    }

    private companion object {
        @JvmStatic
        fun cases() = listOf(
            AnsweredStatement.Begin(readOnly = false) to true,
            AnsweredStatement.Begin(readOnly = true) to false,
            AnsweredStatement.Work(Access.READ, TransactionMode.NONE) to false,
            AnsweredStatement.Work(Access.READ, TransactionMode.READ_ONLY) to false,
            AnsweredStatement.Work(Access.READ, TransactionMode.READ_WRITE) to true,
            AnsweredStatement.Work(Access.WRITE, TransactionMode.NONE) to true,
            AnsweredStatement.Work(Access.WRITE, TransactionMode.READ_ONLY) to true,
            AnsweredStatement.Work(Access.WRITE, TransactionMode.READ_WRITE) to true,
            AnsweredStatement.Commit(hasWritten = true) to true,
            AnsweredStatement.Commit(hasWritten = false) to false,
            AnsweredStatement.RollBack to false,
            AnsweredStatement.Other to false,
        )
    }
}
