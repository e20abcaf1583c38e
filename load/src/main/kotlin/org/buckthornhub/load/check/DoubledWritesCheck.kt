package org.buckthornhub.load.check

import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType

/** Finds writes that ran twice, and two acknowledged inserts of one key. */
public class DoubledWritesCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> = evidence.survivingLogs.flatMap { (group, log) ->
        val ids = repeated(log.map { it.requestId }).map { Violation("request $it ran twice in $group") }
        val once = log.distinctBy { it.requestId }
        val values = repeated(once.flatMap { it.commands }).map { Violation("$it ran under two requests in $group") }
        ids + values
    } + doubledInserts(evidence)

    private fun doubledInserts(evidence: Evidence): List<Violation> = evidence
        .history
        .attempts
        .filter { it.type == StatementType.INSERT && it.outcome is Outcome.Served }
        .groupBy { it.group to it.key }
        .filterValues { inserts -> inserts.distinctBy { it.requestId }.size > 1 }
        .keys
        .map { (group, key) -> Violation("key $key in $group was given to two sessions") }

    private fun repeated(items: List<String>): Set<String> = items.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
}
