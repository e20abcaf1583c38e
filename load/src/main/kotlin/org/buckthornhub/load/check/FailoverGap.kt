package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome

/** Measures the longest time without an acknowledged write while writes were tried, after a primary was killed. */
public class FailoverGap {
    /** In ms, the longest over all groups whose primary was killed; null if none was. */
    public fun longestMillis(evidence: Evidence): Long? = evidence
        .history
        .faults
        .filter { it.killsPrimary }
        .mapNotNull { fault -> fault.group?.let { gapMillis(it, fault.atMillis, evidence) } }
        .maxOrNull()

    private fun gapMillis(group: String, killedMillis: Long, evidence: Evidence): Long? {
        val attempts = evidence.history.attempts
        val writes = attempts.filter { it.group == group && it.type.isWrite }
        if (writes.isEmpty()) return null
        val acknowledged = writes.filter { it.outcome is Outcome.Served }.map { it.endedMillis }
        val moments = (acknowledged + attempts.minOf { it.sentMillis } + attempts.maxOf { it.endedMillis }).sorted()
        return moments
            .zipWithNext()
            .filter { (from, to) -> to > killedMillis && wasTried(writes, from, to) }
            .maxOfOrNull { (from, to) -> to - from }
    }

    private fun wasTried(writes: List<Attempt>, fromMillis: Long, toMillis: Long): Boolean =
        writes.any { it.sentMillis in fromMillis..toMillis }
}
