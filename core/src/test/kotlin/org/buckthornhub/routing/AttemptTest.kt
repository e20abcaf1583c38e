package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.proxy.Proxy
import org.buckthornhub.proxy.ProxyRequest
import org.buckthornhub.retry.BudgetRetryPolicy
import org.buckthornhub.retry.FakeRetryBudget
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.ExecuteInterceptor
import org.buckthornhub.target.TargetGateway
import org.buckthornhub.target.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals

/** Retries of one write: an error of a later attempt never hides that an earlier one may have run. */
internal class AttemptTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `an unknown outcome takes precedence over later errors`(case: AttemptCase) = runTest {
        var sends = 0
        val gateway = TargetGateway { call ->
            val kind = case.attempts.getOrElse(sends) { ErrorKind.STATEMENT_REJECTED }
            sends += 1
            if (kind ==
                null
            ) {
                Ok(Answer(null, Position.START, call.target, fromReplica = false))
            } else {
                Err(ProxyError(kind, "attempt $sends"))
            }
        }
        val statement = Statement(GroupId("g"), Access.WRITE, "put x 1", case.isRepeatable)
        val request = ProxyRequest(null, null, Operation.Run(statement), RequestId("r"), deadlineMillis = 1_000)
        val result = Proxy(persistentListOf(router(), ExecuteInterceptor(gateway))).execute(request)
        assertEquals(case.error, result.getError()?.kind)
        assertEquals(case.sends, sends)
    }

    private fun router() = RouteInterceptor(
        policy = { _, _ -> Ok(Route(TargetId("p"), "the only one")) },
        view = { FleetView() },
        zone = ZoneId("a"),
        clock = fixedClock,
        retries = BudgetRetryPolicy(FakeRetryBudget(isSpent = false), Random(1)),
    )

    private companion object {
        private val fixedClock =
            object : Clock {
                override fun nowMillis() = 0L

                override fun wallMillis() = 0L
            }

        @JvmStatic
        fun cases(): List<AttemptCase> = listOf(
            AttemptCase("success at the first attempt", listOf(null), error = null, sends = 1),
            AttemptCase("success at the second attempt", listOf(ErrorKind.OUTCOME_UNKNOWN, null), error = null, sends = 2),
            AttemptCase(
                "no retry of a statement that is not repeatable",
                listOf(ErrorKind.OUTCOME_UNKNOWN),
                ErrorKind.OUTCOME_UNKNOWN,
                sends = 1,
                isRepeatable = false,
            ),
            AttemptCase(
                "not sent twice, then success",
                listOf(ErrorKind.NO_PRIMARY, ErrorKind.NO_TARGET, null),
                error = null,
                sends = 3,
                isRepeatable = false,
            ),
            AttemptCase(
                "unknown outcome, then rejected",
                listOf(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.QUEUE_FULL),
                ErrorKind.OUTCOME_UNKNOWN,
                sends = 2,
            ),
            AttemptCase(
                "unknown outcome, then not sent, then rejected",
                listOf(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.NO_PRIMARY, ErrorKind.DEADLINE_EXPIRED),
                ErrorKind.OUTCOME_UNKNOWN,
                sends = 3,
            ),
            AttemptCase(
                "not sent, then unknown outcome",
                listOf(ErrorKind.NO_PRIMARY, ErrorKind.OUTCOME_UNKNOWN),
                ErrorKind.OUTCOME_UNKNOWN,
                sends = 2,
                isRepeatable = false,
            ),
            AttemptCase(
                "not sent, then failed at the target",
                listOf(ErrorKind.NO_TARGET, ErrorKind.NO_PRIMARY, ErrorKind.STATEMENT_FAILED),
                ErrorKind.STATEMENT_FAILED,
                sends = 3,
            ),
            AttemptCase(
                "not sent, then unknown outcome, then rejected",
                listOf(ErrorKind.NO_PRIMARY, ErrorKind.OUTCOME_UNKNOWN, ErrorKind.QUEUE_FULL),
                ErrorKind.OUTCOME_UNKNOWN,
                sends = 3,
            ),
            AttemptCase("rejected without an unknown outcome", listOf(ErrorKind.QUEUE_FULL), ErrorKind.QUEUE_FULL, sends = 1),
        )
    }
}
