package org.buckthornhub.cli.explain.log

/** Finds the lines in saved logs that explain the outcome of one request. */
internal object LogExplainer {
    /** Time before and after the request, in ms, in which an event may have caused its failure; a failover takes less. */
    private const val RELATED_MILLIS = 5_000L

    /** Time before and after the request, in ms, in which other failures are likely to have the same cause. */
    private const val SIMILAR_MILLIS = 1_000L
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9.-]{3,}")

    /** Explains the request with the id [id] that the caller sent; the result is empty if no line contains the id. */
    fun explain(lines: List<LogLine>, id: String): LogExplanation {
        val own = lines.filter { it.fields["request"] == id }.sortedBy { it.writtenMillis }
        val last = own.lastOrNull() ?: return LogExplanation(own, emptyList(), emptyMap())
        val names = namesIn(last, lines)
        val related = lines
            .filter { !it.isFailure && !it.isRoutine && isNear(it, last, RELATED_MILLIS) }
            .filter { line -> line.vm != null && line.vm == last.vm || names.any { line.mentions(it) } }
            .sortedBy { it.writtenMillis }
        val similar = lines
            .filter { it.isFailure && it !in own && it.fields["kind"] == last.fields["kind"] && isNear(it, last, SIMILAR_MILLIS) }
            .groupingBy { it.vm ?: "unnamed" }
            .eachCount()
        return LogExplanation(own, related, similar)
    }

    // Instances and groups named in the detail or target of the request: its words that lines about fleet events also contain.
    private fun namesIn(request: LogLine, lines: List<LogLine>): Set<String> {
        val words = namePattern.findAll(request.fields["detail"].orEmpty() + " " + request.fields["target"].orEmpty())
            .map { it.value }
            .filter { word -> word.any { it.isDigit() } }
            .toSet()
        return words.filter { word -> lines.any { !it.isFailure && !it.isRoutine && it.mentions(word) } }.toSet()
    }

    private fun isNear(line: LogLine, request: LogLine, millis: Long) =
        line.writtenMillis in request.writtenMillis - millis..request.writtenMillis + millis
}
