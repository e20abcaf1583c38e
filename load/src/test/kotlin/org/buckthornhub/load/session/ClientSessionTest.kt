package org.buckthornhub.load.session

import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.Clock
import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals

/** A session resends only what surely did not run, and carries its token. */
internal class ClientSessionTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `carries on`(case: SessionCase) = runTest {
        val clock =
            object : Clock {
                override fun nowMillis(): Long = currentTime

                override fun wallMillis(): Long = currentTime
            }
        val link = FakeLink(case.outcomes, clock)
        val plan = SessionPlan("o", "o/r-1", "o/r-0", listOf("g"), offeredPerSecond = 10.0, readShare = 0.5, resendLimitMillis = 200)
        var attempts = emptyList<Attempt>()
        ClientSession(plan, link, clock, Random(1)) { attempts = attempts + it }.run(endMillis = 3_000)
        val size = case.numbers.size
        assertEquals(case.numbers, attempts.take(size).map { it.requestId.substringAfterLast('-').toInt() })
        assertEquals(case.epochs, attempts.take(size).map { it.epoch })
        assertEquals(case.tokens, link.tokens.take(size))
    }

    private companion object {
        val served = Outcome.Served(null, fromReplica = false)
        val unknown = Outcome.Refused("OUTCOME_UNKNOWN", mayResend = false)
        val lost = Outcome.Refused(Outcome.WRITE_LOST, mayResend = false)
        val noAnswer = Outcome.Unanswered(sent = true)
        val unreachable = Outcome.Unanswered(sent = false)

        fun limited(retryAfterMillis: Long? = null) = Outcome.Refused(Outcome.RATE_EXCEEDED, mayResend = true, retryAfterMillis)

        @JvmStatic
        fun cases(): List<SessionCase> = listOf(
            SessionCase("carries the newest token", listOf(served, served), listOf(0, 1, 2), listOf(null, "t1", "t2")),
            SessionCase("resends what was not run", listOf(limited(), limited(20)), listOf(0, 0, 0, 1), listOf(null, null, null, "t3")),
            SessionCase("does not resend beyond its limit", listOf(limited(200)), listOf(0, 1), listOf(null, null)),
            SessionCase("resends what never left", listOf(unreachable), listOf(0, 0, 1), listOf(null, null, "t2")),
            SessionCase("goes on after an unknown outcome", listOf(unknown), listOf(0, 1), listOf(null, null)),
            SessionCase("goes on after no answer", listOf(served, noAnswer), listOf(0, 1, 2), listOf(null, "t1", "t1")),
            SessionCase(
                "starts anew after a loss",
                listOf(served, lost),
                numbers = listOf(0, 1, 2, 3),
                tokens = listOf(null, "t1", null, "t3"),
                epochs = listOf(0, 0, 1, 1),
            ),
        )
    }
}
