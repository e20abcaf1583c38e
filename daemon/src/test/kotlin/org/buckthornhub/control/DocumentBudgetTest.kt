package org.buckthornhub.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Large configurations that arrive at the same time and together take more memory than the process has. */
internal class DocumentBudgetTest {
    @ParameterizedTest(name = "{0} documents of {1} characters: {2} at a time")
    @CsvSource("8, 10, 8", "8, 25, 4", "8, 60, 1", "8, 100, 1", "8, 500, 1", "1, 500, 1")
    fun `documents are handled together up to the budget, and a single one always`(count: Int, chars: Int, expected: Int) = runTest {
        val budget = DocumentBudgetTask(budgetChars = 100).apply { start(backgroundScope) }
        val isDone = CompletableDeferred<Unit>()
        val results = (1..count).map { async { budget.within(chars) { isDone.await() } } }
        runCurrent()
        isDone.complete(Unit)
        assertEquals(expected, results.awaitAll().count { it != null })
        assertEquals(Unit, budget.within(chars) {}, "the budget is free again")
    }

    @ParameterizedTest(name = "answered before the caller is cancelled: {0}")
    @CsvSource("false", "true")
    fun `a document whose caller has gone while it waited is not counted`(isAnswered: Boolean) = runTest {
        val budget = DocumentBudgetTask(budgetChars = 100)
        val caller = launch(start = CoroutineStart.UNDISPATCHED) { budget.within(100) { CompletableDeferred<Unit>().await() } }
        if (!isAnswered) caller.cancel()
        budget.start(backgroundScope)
        runCurrent()
        caller.cancel()
        runCurrent()
        assertEquals(Unit, budget.within(100) {})
    }

    @Test
    fun `a document whose caller has gone is no longer counted`() = runTest {
        val budget = DocumentBudgetTask(budgetChars = 100).apply { start(backgroundScope) }
        val caller = launch { budget.within(100) { CompletableDeferred<Unit>().await() } }
        runCurrent()
        assertEquals(null, budget.within(100) {})
        caller.cancel()
        runCurrent()
        assertEquals(Unit, budget.within(100) {})
    }
}
