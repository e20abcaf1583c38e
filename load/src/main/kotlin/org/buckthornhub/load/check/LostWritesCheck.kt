package org.buckthornhub.load.check

import org.buckthornhub.load.history.Outcome

/**
 * Finds acknowledged writes that the surviving log does not have; a run without any logs shows nothing either way.
 *
 * Writes are told apart by their unique values: what stands between client and target may rename requests.
 */
public class LostWritesCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> {
        if (evidence.logs.isEmpty()) return emptyList()
        val survived = evidence.survivingLogs.mapValues { (_, log) -> log.flatMap { it.commands }.map { it.substringAfter(' ') }.toSet() }
        return evidence
            .history
            .attempts
            .filter { it.type.isWrite && it.outcome is Outcome.Served && "${it.key} ${it.value}" !in survived[it.group].orEmpty() }
            .distinctBy { it.requestId }
            .map { Violation("write ${it.requestId} of ${it.value} in ${it.group} was acknowledged and is lost") }
    }
}
