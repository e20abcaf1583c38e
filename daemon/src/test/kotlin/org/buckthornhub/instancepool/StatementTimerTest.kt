package org.buckthornhub.instancepool

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.connection.SessionPhase
import org.buckthornhub.connection.TargetLinkFailure
import org.buckthornhub.connection.TargetRefusal
import org.buckthornhub.connection.TargetReply
import org.buckthornhub.connection.TargetStatement
import org.buckthornhub.instancepool.load.StatementOutcome
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.statement.RequestId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against load that is derived from pauses of callers, or from refusals that are not due to the instance. */
internal class StatementTimerTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the outcome of a statement is that of the instance`(case: StatementTimerCase) = runTest {
        val timer = timer { currentTime }
        timer.run(case.statement) {
            delay(7)
            case.result
        }
        assertEquals(listOfNotNull(case.outcome?.let { StatementSample(2, 7, it) }), timer.samples.toList())
    }

    @Test
    fun `pauses within a transaction don't count, and a long one keeps its newest statements`() = runTest {
        val timer = timer { currentTime }
        repeat(100) { number ->
            delay(1_000)
            timer.run(work) {
                delay(number.toLong())
                completed
            }
        }
        assertEquals((84L..99L).toList(), timer.samples.map { it.millis })
    }

    private fun timer(nowMillis: () -> Long) = StatementTimer(
        priority = 2,
        object : Clock {
            override fun nowMillis(): Long = nowMillis()

            override fun wallMillis(): Long = nowMillis()
        },
    )

    private companion object {
        private val work = TargetStatement.Run(RequestId("r"), "READ", floor = null)
        private val completed: Result<TargetReply, TargetLinkFailure> =
            Ok(TargetReply.Completed(emptyList(), null, SessionPhase.IDLE, position = null))

        private fun refused(refusal: TargetRefusal): Result<TargetReply, TargetLinkFailure> =
            Ok(TargetReply.Refused(refusal, "refused by the test", SessionPhase.IDLE, position = null))

        private fun lost(mayHaveRun: Boolean): Result<TargetReply, TargetLinkFailure> =
            Err(TargetLinkFailure(mayHaveRun, isSilent = false, "lost by the test"))

        @JvmStatic
        fun cases(): List<StatementTimerCase> = listOf(
            StatementTimerCase("work", work, completed, StatementOutcome.SERVED),
            StatementTimerCase("beginning of a transaction", TargetStatement.Begin(readOnly = true, floor = null), completed, null),
            StatementTimerCase("end of a transaction", TargetStatement.RollBack, completed, null),
            StatementTimerCase("full queue", work, refused(TargetRefusal.BUSY), StatementOutcome.BUSY),
            StatementTimerCase("failure", work, refused(TargetRefusal.FAILED), StatementOutcome.FAILED),
            StatementTimerCase("replica behind", work, refused(TargetRefusal.BEHIND), null),
            StatementTimerCase("faulty statement", work, refused(TargetRefusal.MALFORMED), null),
            StatementTimerCase("no answer", work, lost(mayHaveRun = true), StatementOutcome.FAILED),
            StatementTimerCase("connection closed while idle", work, lost(mayHaveRun = false), null),
        )
    }
}
