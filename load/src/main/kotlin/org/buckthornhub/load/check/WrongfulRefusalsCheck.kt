package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome

/**
 * Finds refusals for the rate although all that the organisation had sent was inside its right over every window.
 *
 * Every request counts, also a refused one; so the bucket goes below zero while too much is sent.
 */
public class WrongfulRefusalsCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> = evidence.rights.flatMap { right ->
        wrongful(right, evidence.history.attempts.filter { it.organisation == right.organisation }.sortedBy { it.sentMillis })
    }

    private fun wrongful(right: OrganisationRight, attempts: List<Attempt>): List<Violation> {
        val first = attempts.firstOrNull() ?: return emptyList()
        val start = TokenBucket(right, atMillis = first.sentMillis) to emptyList<Violation>()
        return attempts
            .fold(start) { (bucket, found), attempt ->
                val next = bucket.refilled(attempt.sentMillis).spent()
                next to if (isRefused(attempt) && next.tokens >= 0) found + violationOf(attempt) else found
            }.second
    }

    private fun isRefused(attempt: Attempt): Boolean = (attempt.outcome as? Outcome.Refused)?.kind == Outcome.RATE_EXCEEDED

    private fun violationOf(attempt: Attempt) = Violation("${attempt.requestId} of ${attempt.organisation} was within its right")
}
