package org.buckthornhub.cli.explain.log

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ErrorTable
import java.time.Instant

/** Formats a [LogExplanation] as text. */
internal object LogExplanationText {
    fun linesOf(id: String, explanation: LogExplanation, skipped: Int): List<String> {
        val own = explanation.own.flatMap { requestLines(it) }.ifEmpty {
            listOf("no line of request $id: it may have been left out over the budget of lines, or belong to another log")
        }
        val related = explanation.related.map { "  ${at(it)} ${it.message}" }
        val similar = explanation.similar.entries.sortedByDescending { it.value }.map { (vm, count) -> "  $vm: $count" }
        return own +
            withHeading("around that time", related) +
            withHeading("failures of the same kind within a second", similar) +
            if (skipped > 0) listOf("$skipped lines were skipped: not from a daemon, or cut") else emptyList()
    }

    private fun withHeading(head: String, lines: List<String>) = if (lines.isEmpty()) lines else listOf("$head:") + lines

    private fun requestLines(line: LogLine): List<String> {
        val fields = line.fields.filterKeys { it !in SHOWN_FIELDS }.map { (name, value) -> "$name=$value" }.joinToString(" ")
        if (!line.isFailure) return listOf("${at(line)} served: $fields")
        val kind = line.fields["kind"].orEmpty()
        val meaning = ErrorKind.entries.firstOrNull { it.name == kind }?.let { ErrorTable.answerTo(it) }
        return listOfNotNull(
            "${at(line)} $kind: ${line.fields["detail"].orEmpty()}",
            meaning?.let { "  ${it.execution}; ${it.advice}" },
            "  $fields",
        )
    }

    private fun at(line: LogLine): String = listOfNotNull(Instant.ofEpochMilli(line.writtenMillis).toString(), line.vm).joinToString(" ")

    private val SHOWN_FIELDS = setOf("request", "kind", "detail")
}
