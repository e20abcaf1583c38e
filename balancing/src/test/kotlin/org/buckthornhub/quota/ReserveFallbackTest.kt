package org.buckthornhub.quota

import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Operations of an organisation whose whole limit is in the reserve. */
internal class ReserveFallbackTest {
    private val decider = RateLimiterDecider()

    @ParameterizedTest
    @MethodSource("cases")
    fun `operations are admitted without the reserve only if it could not be reached`(case: ReserveFallbackCase) {
        val asked = decider.decide(RateLimiterState(), admit(1), 0).state
        val answer = RateLimiterMessage.ReserveReceived(organisation, wanted = 1, tokens = case.tokens, retryAfterMillis = 100)
        val first = decider.decide(asked, answer, 10)
        val later = (2L..3L).fold(first.state to first.effects) { (state, effects), ticket ->
            val decision = decider.decide(state, admit(ticket), 20)
            decision.state to effects.addAll(decision.effects)
        }
        assertEquals(case.admitted, later.second.count { it is RateLimiterEffect.Admitted })
    }

    @Test
    fun `refused operations are told of one future token each`() {
        val limit = BucketRate(ratePerSecond = 10.0, burst = 10.0)
        var reserve = TokenReserve(startedMillis = 0)
        val times = (1..5).map {
            val withdrawal = reserve.withdraw(organisation, wanted = 1, limit, nowMillis = 0)
            reserve = withdrawal.reserve
            withdrawal.retryAfterMillis
        }
        assertEquals(listOf(100L, 200L, 300L, 400L, 500L), times)
    }

    // A later leader, or a VM that may have lost the disk of an earlier quorum, can't know what was issued before.
    @Test
    fun `only the first leader of a new quorum starts with tokens`() {
        val limit = BucketRate(ratePerSecond = 10.0, burst = 10.0)
        val starts = listOf(1L to true, 2L to true, 1L to false).map { (term, isFirstStart) ->
            TokenReserve.ofTerm(term, startedMillis = 0, isFirstStart, adaptsToLoad = true).startTokens(limit)
        }
        assertEquals(listOf(4.0, 0.0, 0.0), starts)
        assertEquals(0.0, TokenReserve.ofTerm(1, startedMillis = 0, isFirstStart = true, adaptsToLoad = false).startTokens(limit))
    }

    private companion object {
        private val organisation = OrganisationId("o")

        private fun admit(ticket: Long) = RateLimiterMessage.Admit(
            ticket,
            organisation,
            BucketRate(ratePerSecond = 0.0, burst = 0.0),
            fallbackTokens = FallbackTokens(fixed = 2),
        )

        @JvmStatic
        fun cases(): List<ReserveFallbackCase> = listOf(
            ReserveFallbackCase("the reserve is empty", tokens = 0, admitted = 0),
            ReserveFallbackCase("the reserve granted it", tokens = 1, admitted = 1),
            ReserveFallbackCase("the reserve can't be reached", tokens = null, admitted = 2),
        )
    }
}
