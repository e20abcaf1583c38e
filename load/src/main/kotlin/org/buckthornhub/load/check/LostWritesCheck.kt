package org.buckthornhub.load.check

import org.buckthornhub.load.history.Outcome

/** Finds acknowledged writes that the surviving log does not have; a run without any logs shows nothing either way. */
public class LostWritesCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> {
        if (evidence.logs.isEmpty()) return emptyList()
        val survived = evidence.survivingLogs.mapValues { (_, log) -> log.map { it.requestId }.toSet() }
        return evidence
            .history
            .attempts
            .filter { it.type.isWrite && it.outcome is Outcome.Served && it.requestId !in survived[it.group].orEmpty() }
            .distinctBy { it.requestId }
            .map { Violation("write ${it.requestId} of ${it.value} in ${it.group} was acknowledged and is lost") }
    }
}
