package org.buckthornhub.quota

import kotlinx.coroutines.test.runTest
import org.buckthornhub.clock.SystemClock
import org.buckthornhub.coordination.ReserveGrant
import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Answers of control VMs that have no tokens, one of them frozen for so long that it may have been replaced. */
internal class RateLimiterTaskTest {
    @ParameterizedTest
    @CsvSource("true, true, true", "true, false, false", "false, false, false")
    fun `an answer of a VM that may not lead counts as none`(adapts: Boolean, isUnavailable: Boolean, isAdmitted: Boolean) = runTest {
        val grant = ReserveGrant(tokens = 0, retryAfterMillis = 100, isUnavailable = isUnavailable)
        val task = RateLimiterTask({ _, _ -> grant }, SystemClock, adapts)
        task.start(backgroundScope)
        val fallback = FallbackTokens(fixed = 1, usual = 1, inFlood = 1)
        assertEquals(isAdmitted, task.admit(OrganisationId("o"), BucketRate(0.0, 0.0), fallback) == null)
    }

    // Many organisations over their limits at once must not make a line of any length.
    @Test
    fun `a log line names few organisations`() {
        val activity = (1..9).fold(LimitActivity(sinceMillis = 0)) { known, number ->
            known.withRefused(OrganisationId("o$number"), number, retryAfterMillis = 100L * number)
        }
        assertEquals(
            "refused by the rate limit: o9: 9, o8: 8, o7: 7, o6: 6, o5: 5, others: 10; told to return after 100 to 900 ms; " +
                "reserve tokens issued: 0, returned: 0, expired: 0",
            activity.line(),
        )
        assertEquals(listOf(false, true), listOf(999L, 1_000L).map { activity.isDue(it) })
    }
}
