package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome

/** Measures how much of what an organisation offered within its right was served, from 0 to 1. */
public class OrganisationShare {
    /** The smallest share over all organisations that sent anything; 1 if none did. */
    public fun worst(evidence: Evidence): Double = evidence.rights.mapNotNull { shareOf(it, evidence) }.minOrNull() ?: 1.0

    private fun shareOf(right: OrganisationRight, evidence: Evidence): Double? {
        val attempts = evidence.history.attempts.filter { it.organisation == right.organisation }.sortedBy { it.sentMillis }
        val first = attempts.firstOrNull() ?: return null
        val start = TokenBucket(right, atMillis = first.sentMillis) to 0
        val offered =
            attempts
                .fold(start) { (bucket, count), attempt ->
                    val next = bucket.refilled(attempt.sentMillis)
                    if (next.tokens >= 1) next.spent() to count + 1 else next to count
                }.second
        return minOf(1.0, attempts.count { isAnswered(it) }.toDouble() / offered)
    }

    // A statement that the database itself rejected was served: the organisation got its turn.
    private fun isAnswered(attempt: Attempt): Boolean = when (val outcome = attempt.outcome) {
        is Outcome.Served -> true
        is Outcome.Refused -> outcome.kind == Outcome.STATEMENT_REJECTED
        is Outcome.Unanswered -> false
    }
}
