package org.buckthornhub.load.report

import org.HdrHistogram.Histogram
import org.buckthornhub.load.check.Evidence
import org.buckthornhub.load.check.FailoverGap
import org.buckthornhub.load.check.Findings
import org.buckthornhub.load.check.OrganisationShare
import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome
import org.buckthornhub.load.history.StatementType
import org.buckthornhub.load.history.errorKind
import kotlin.math.round

/**
 * Counts the figures of a run.
 *
 * @param warmUpMillis latencies are taken of what was sent later than this after the start; all else counts from the start
 */
public class Summarizer(private val warmUpMillis: Long = 0) {
    public fun summarize(evidence: Evidence, findings: Findings): Summary {
        val served = evidence.history.attempts.filter { it.outcome is Outcome.Served }
        val reads = served.filter { it.type == StatementType.READ }
        val replicaReads = reads.count { (it.outcome as Outcome.Served).fromReplica }
        val latencies = latenciesOf(served)
        return Summary(
            statements = served.size,
            reads = reads.size,
            replicaReads = replicaReads,
            replicaShare = rounded(if (reads.isEmpty()) 0.0 else replicaReads.toDouble() / reads.size),
            failoverGapMillis = FailoverGap().longestMillis(evidence),
            readYourWritesViolations = findings.readYourWrites.size,
            lostWrites = findings.lostWrites.size.takeIf { evidence.logs.isNotEmpty() },
            doubledWrites = findings.doubledWrites.size.takeIf { evidence.logs.isNotEmpty() },
            wrongfulRefusals = findings.wrongfulRefusals.size,
            worstOrganisationShare = rounded(OrganisationShare().worst(evidence)),
            p50Millis = latencies.getValueAtPercentile(MEDIAN_PERCENT),
            p99Millis = latencies.getValueAtPercentile(TAIL_PERCENT),
            errors = evidence.history.attempts.mapNotNull { it.outcome.errorKind() }.groupingBy { it }.eachCount().toSortedMap(),
        )
    }

    private fun latenciesOf(served: List<Attempt>): Histogram {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        val fromMillis = (served.minOfOrNull { it.sentMillis } ?: 0) + warmUpMillis
        served.filter { it.sentMillis >= fromMillis }.forEach { histogram.recordValue(it.endedMillis - it.sentMillis) }
        return histogram
    }

    private fun rounded(share: Double): Double = round(share * SHARE_STEPS) / SHARE_STEPS

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN_PERCENT = 50.0
        const val TAIL_PERCENT = 99.0
        const val SHARE_STEPS = 10_000.0
    }
}
