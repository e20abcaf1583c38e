package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType

/** Finds reads that miss an acknowledged write of their own session; a session that was told of a loss starts anew. */
public class ReadYourWritesCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> = evidence
        .history
        .attempts
        .groupBy { listOf(it.session, it.epoch.toString(), it.group, it.key) }
        .values
        .flatMap { violationsOfKey(it) }

    private fun violationsOfKey(attempts: List<Attempt>): List<Violation> {
        val writes = attempts.filter { it.type.isWrite && it.outcome is Outcome.Served }
        return attempts
            .filter { it.type == StatementType.READ }
            .flatMap { read -> missing(read, writes) }
    }

    private fun missing(read: Attempt, writes: List<Attempt>): List<Violation> {
        val outcome = read.outcome as? Outcome.Served ?: return emptyList()
        val seen = outcome.value.orEmpty().split(',').toSet()
        return writes
            .filter { it.endedMillis <= read.sentMillis && it.value !in seen }
            .take(1)
            .map { Violation("read ${read.requestId} of ${read.key} in ${read.group} misses ${it.value}") }
    }
}
