package org.buckthornhub.load.report

import org.HdrHistogram.Histogram
import org.buckthornhub.load.check.Evidence
import org.buckthornhub.load.history.Attempt
import org.buckthornhub.load.history.Outcome

/** Writes one self-contained page with the figures and plots of a run. */
public class HtmlReport {
    public fun render(evidence: Evidence, summary: Summary): String {
        val charts = chartsOf(evidence).joinToString("\n") { it.toSvg() }
        val head = "<head><meta charset=\"utf-8\"><title>buckthornhub load</title><style>$STYLE</style></head>"
        return "<!DOCTYPE html>\n<html lang=\"en\">$head" +
            "<body><h1>buckthornhub load</h1>\n<pre>${summary.toLine()}</pre>\n$charts\n</body></html>\n"
    }

    private fun chartsOf(evidence: Evidence): List<LineChart> {
        val attempts = evidence.history.attempts
        if (attempts.isEmpty()) return emptyList()
        val start = attempts.minOf { it.sentMillis }
        val duration = attempts.maxOf { it.endedMillis } - start
        val marks = evidence.history.faults.map { it.atMillis - start to it.label }
        val intervals = (duration / INTERVAL_MILLIS + 1).toInt()
        val byInterval = attempts.groupBy { ((it.endedMillis - start) / INTERVAL_MILLIS).toInt() }
        val slices = (0 until intervals).map { byInterval[it].orEmpty() }
        return listOf(
            LineChart("Throughput", "statements a second, by organisation", throughput(slices, attempts), duration, marks),
            LineChart("Acknowledged writes", "writes a second, by group", writes(slices, attempts), duration, marks),
            LineChart("Latency", "ms", latency(slices), duration, marks),
            LineChart("Refusals and errors", "a second, by organisation", refusals(slices, attempts), duration, marks),
        )
    }

    private fun throughput(slices: List<List<Attempt>>, attempts: List<Attempt>): List<Series> =
        lines(slices, attempts.map { it.organisation }) { name, attempt -> attempt.organisation == name && isServed(attempt) }

    private fun writes(slices: List<List<Attempt>>, attempts: List<Attempt>): List<Series> =
        lines(slices, attempts.map { it.group }) { name, attempt -> attempt.group == name && attempt.type.isWrite && isServed(attempt) }

    private fun refusals(slices: List<List<Attempt>>, attempts: List<Attempt>): List<Series> =
        lines(slices, attempts.map { it.organisation }) { name, attempt -> attempt.organisation == name && !isServed(attempt) }

    private fun lines(slices: List<List<Attempt>>, names: List<String>, isCounted: (String, Attempt) -> Boolean): List<Series> =
        names.distinct().sorted().map { name ->
            Series(name, slices.map { slice -> slice.count { isCounted(name, it) } * MILLIS_PER_SECOND / INTERVAL_MILLIS })
        }

    private fun latency(slices: List<List<Attempt>>): List<Series> = PERCENTILES.map { percentile ->
        Series("p${percentile.toInt()}", slices.map { percentileOf(it, percentile) })
    }

    private fun percentileOf(slice: List<Attempt>, percentile: Double): Double {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        slice.filter { isServed(it) }.forEach { histogram.recordValue(it.endedMillis - it.sentMillis) }
        return histogram.getValueAtPercentile(percentile).toDouble()
    }

    private fun isServed(attempt: Attempt): Boolean = attempt.outcome is Outcome.Served

    private companion object {
        const val INTERVAL_MILLIS = 250L
        const val MILLIS_PER_SECOND = 1_000.0
        const val SIGNIFICANT_DIGITS = 3
        val PERCENTILES = listOf(50.0, 99.0)
        const val STYLE =
            "body{font:14px sans-serif;max-width:1000px;margin:auto}pre{white-space:pre-wrap}svg{width:100%;margin:8px 0}" +
                "polyline{fill:none;stroke-width:1.5}.grid{stroke:#ddd}.title{font-weight:bold}" +
                ".unit,.tick,.second,.legend{font-size:11px}" +
                ".tick{text-anchor:end}.second{text-anchor:middle}line.fault{stroke:#c0392b;stroke-dasharray:4 3}" +
                "text.fault{fill:#c0392b;font-size:11px}"
    }
}
