package org.buckthornhub.connection

import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.error.promisesNoEffect
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

internal class StatementFailureTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the caller is told the outcome of the attempts`(case: StatementFailureCase) {
        val failure = StatementFailure.of(case.attempts.toPersistentList())
        assertEquals(case.kind, failure.error.kind)
        assertEquals(case.detail, failure.error.detail)
    }

    @ParameterizedTest
    @EnumSource
    fun `an attempt that may have run has no error that promises otherwise`(kind: ErrorKind) {
        val error = ProxyError(kind, "detail")
        if (kind.promisesNoEffect) {
            assertFailsWith<IllegalArgumentException> { AttemptFailure.MayHaveRun(TargetId("i-1"), error) }
        } else {
            assertEquals(error, AttemptFailure.MayHaveRun(TargetId("i-1"), error).error)
        }
    }

    @Test
    fun `no order of attempts turns one that may have run into a promise`() {
        val random = Random(29)
        repeat(RUNS) {
            val refusals = List(random.nextInt(4)) { notRun(promises.random(random), if (random.nextBoolean()) "i-1" else null) }
            val attempts = (refusals + mayHaveRun(unknowns.random(random))).shuffled(random)
            assertFalse(StatementFailure.of(attempts.toPersistentList()).error.kind.promisesNoEffect, "$attempts")
        }
    }

    private companion object {
        const val RUNS = 2_000
        val promises = ErrorKind.entries.filter { it.promisesNoEffect }
        val unknowns = ErrorKind.entries - promises.toSet()

        fun notRun(kind: ErrorKind, target: String? = "i-1") =
            AttemptFailure.NotRun(target?.let { TargetId(it) }, ProxyError(kind, "$kind at $target"))

        fun mayHaveRun(kind: ErrorKind) = AttemptFailure.MayHaveRun(TargetId("i-2"), ProxyError(kind, "$kind at i-2"))

        @JvmStatic
        fun cases(): List<StatementFailureCase> = listOf(
            StatementFailureCase("one refusal", listOf(notRun(ErrorKind.QUEUE_FULL)), ErrorKind.QUEUE_FULL, "QUEUE_FULL at i-1"),
            StatementFailureCase("no target", listOf(notRun(ErrorKind.NO_TARGET, null)), ErrorKind.NO_TARGET, "NO_TARGET at null"),
            StatementFailureCase(
                "a refusal, then no target",
                listOf(notRun(ErrorKind.REPLICA_BEHIND), notRun(ErrorKind.NO_TARGET, null)),
                ErrorKind.REPLICA_BEHIND,
                "REPLICA_BEHIND at i-1; then NO_TARGET at null",
            ),
            StatementFailureCase(
                "two refusals",
                listOf(notRun(ErrorKind.NO_PRIMARY), notRun(ErrorKind.QUEUE_FULL)),
                ErrorKind.QUEUE_FULL,
                "NO_PRIMARY at i-1; then QUEUE_FULL at i-1",
            ),
            StatementFailureCase(
                "a refusal, then an unknown outcome",
                listOf(notRun(ErrorKind.NO_PRIMARY), mayHaveRun(ErrorKind.OUTCOME_UNKNOWN)),
                ErrorKind.OUTCOME_UNKNOWN,
                "NO_PRIMARY at i-1; then OUTCOME_UNKNOWN at i-2",
            ),
            StatementFailureCase(
                "an unknown outcome, then a refusal",
                listOf(mayHaveRun(ErrorKind.ANSWER_LOST), notRun(ErrorKind.NO_TARGET, null)),
                ErrorKind.ANSWER_LOST,
                "ANSWER_LOST at i-2; then NO_TARGET at null",
            ),
            StatementFailureCase(
                "the first of two that may have run",
                listOf(mayHaveRun(ErrorKind.OUTCOME_UNKNOWN), mayHaveRun(ErrorKind.STATEMENT_FAILED)),
                ErrorKind.OUTCOME_UNKNOWN,
                "OUTCOME_UNKNOWN at i-2; then STATEMENT_FAILED at i-2",
            ),
            StatementFailureCase(
                "the last details of many refusals",
                List(9) { notRun(ErrorKind.NO_PRIMARY, "i-$it") },
                ErrorKind.NO_PRIMARY,
                "NO_PRIMARY at i-5; then NO_PRIMARY at i-6; then NO_PRIMARY at i-7; then NO_PRIMARY at i-8",
            ),
        )
    }
}
