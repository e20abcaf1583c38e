package org.buckthornhub.cli.explain.log

/** Finds in saved logs what explains one request. */
internal object LogExplainer {
    /** Time before and after the request in which something may have caused its failure; a failover takes less. In ms. */
    private const val AROUND_MILLIS = 5_000L

    /** Time before and after it in which other failures are likely of the same cause; in ms. */
    private const val ALIKE_MILLIS = 1_000L
    private val name = Regex("[A-Za-z0-9][A-Za-z0-9.-]{3,}")

    /** [id] as the caller gave it; no lines of its own if the logs don't know it. */
    fun explain(lines: List<LogLine>, id: String): LogExplanation {
        val own = lines.filter { it.fields["request"] == id }.sortedBy { it.writtenMillis }
        val last = own.lastOrNull() ?: return LogExplanation(own, emptyList(), emptyMap())
        val names = namesIn(last, lines)
        val around = lines
            .filter { !it.isFailure && !it.isRoutine && isNear(it, last, AROUND_MILLIS) }
            .filter { line -> line.vm != null && line.vm == last.vm || names.any { line.mentions(it) } }
            .sortedBy { it.writtenMillis }
        val alike = lines
            .filter { it.isFailure && it !in own && it.fields["kind"] == last.fields["kind"] && isNear(it, last, ALIKE_MILLIS) }
            .groupingBy { it.vm ?: "unnamed" }
            .eachCount()
        return LogExplanation(own, around, alike)
    }

    // Instances and groups that the request's detail names: words of it that other lines about the fleet know as well.
    private fun namesIn(request: LogLine, lines: List<LogLine>): Set<String> {
        val words = name.findAll(request.fields["detail"].orEmpty() + " " + request.fields["target"].orEmpty())
            .map { it.value }
            .filter { word -> word.any { it.isDigit() } }
            .toSet()
        return words.filter { word -> lines.any { !it.isFailure && !it.isRoutine && it.mentions(word) } }.toSet()
    }

    private fun isNear(line: LogLine, request: LogLine, millis: Long) =
        line.writtenMillis in request.writtenMillis - millis..request.writtenMillis + millis
}
