package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType

/** Finds answers that hold data of another session or organisation, or that lack the value just written. */
public class MisdirectedAnswersCheck : HistoryCheck {
    override fun violations(evidence: Evidence): List<Violation> = evidence
        .history
        .attempts
        .filter { it.type != StatementType.INSERT && isMisdirected(it) }
        .map { Violation("answer to ${it.requestId} of ${it.key} in ${it.group} belongs elsewhere: ${it.outcome}") }

    private fun isMisdirected(attempt: Attempt): Boolean {
        val value = (attempt.outcome as? Outcome.Served)?.value ?: return false
        val items = value.split(',')
        val isForeign = items.any { it.substringBeforeLast('.') != attempt.key.substringBeforeLast('/') }
        return isForeign || attempt.type.isWrite && attempt.value !in items
    }
}
