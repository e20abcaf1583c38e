package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType
import org.buckthornhub.target.wire.LogEntryBody

/** Finds commits that hold statements of other transactions, or lack some of their own. */
public class MixedTransactionsCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> {
        val attempts = evidence.history.attempts
        val steps = attempts.filter { it.type == StatementType.IN_TRANSACTION && it.outcome is Outcome.Served }
        val textsOf = steps.groupBy { it.requestId.substringBeforeLast(STEP_SEPARATOR) }.mapValues { (_, own) -> textsOf(own) }
        val entries = evidence.survivingLogs.mapValues { (_, log) -> log.associateBy { it.requestId } }
        return attempts
            .filter { it.type == StatementType.COMMIT && it.outcome is Outcome.Served }
            .mapNotNull { violationOf(it, textsOf[it.requestId].orEmpty(), entries[it.group]?.get(it.requestId)) }
    }

    private fun textsOf(steps: List<Attempt>) = steps.sortedBy { it.sentMillis }.map { "append ${it.key} ${it.value}" }

    // A commit that is in no log at all is a lost write, which another check counts.
    private fun violationOf(commit: Attempt, expected: List<String>, entry: LogEntryBody?): Violation? {
        if (entry == null || entry.commands == expected) return null
        return Violation("commit ${commit.requestId} in ${commit.group} holds ${entry.commands} in place of $expected")
    }

    public companion object {
        /** Stands between the request id of a transaction and the number of a step in it. */
        public const val STEP_SEPARATOR: Char = '+'
    }
}
