package org.buckthornhub.cli.explain

import org.buckthornhub.explain.ExplainAnswer
import org.buckthornhub.explain.ExplainEvent
import org.buckthornhub.explain.RequestRecord
import java.time.Instant

/** Formats an [ExplainAnswer] as text. */
internal object ExplainText {
    fun linesOf(answer: ExplainAnswer): List<String> {
        val lines = answer.requests.flatMap { requestLines(it) } + answer.events.map { eventLine(it) }
        return lines.ifEmpty { listOf("nothing recorded; this daemon may have forgotten it, or the request came in at another one") }
    }

    private fun requestLines(record: RequestRecord): List<String> {
        val access = if (record.isRead) "read" else "write"
        val took = record.tookMillis?.let { "took $it ms" } ?: "still runs"
        val head = "${at(
            record.startedWallMillis,
        )} trace ${record.traceId} $access of ${record.group} by ${record.organisation ?: "anyone"}: $took"
        return listOf(head) + record.steps.map { "  +${it.atMillis} ms ${it.name.name.lowercase()}: ${it.detail}" } + outcome(record)
    }

    private fun outcome(record: RequestRecord): String {
        if (record.tookMillis == null) return "  no answer yet"
        if (record.error == null) return "  served by ${record.target}${if (record.fromReplica == true) ", a replica" else ""}"
        val again = record.retryAfterMillis?.let { "; a repeat is worth trying after $it ms" }.orEmpty()
        return "  ${record.error}: ${record.detail}$again"
    }

    private fun eventLine(event: ExplainEvent): String = when (event) {
        is ExplainEvent.PrimaryReplaced ->
            "${at(event.atWallMillis)} group ${event.group}: primary ${event.from ?: "unknown"} replaced by ${event.to} in term " +
                "${event.term.value}: ${event.reason} (detect ${event.detectMillis} ms, fence ${event.fenceMillis} ms, " +
                "promote ${event.promoteMillis} ms)"
        is ExplainEvent.Other -> "${at(event.atWallMillis)} group ${event.group}: ${event.what}"
    }

    private fun at(wallMillis: Long): String = Instant.ofEpochMilli(wallMillis).toString()
}
