package org.buckthornhub.cli.check

import kotlinx.serialization.builtins.ListSerializer
import org.buckthornhub.cli.ExitCode
import org.buckthornhub.http.WireJson
import org.buckthornhub.routetable.RouteTable
import org.buckthornhub.routetable.review.EntryReference
import org.buckthornhub.routetable.review.Finding
import org.buckthornhub.routetable.review.ReviewedDocument
import org.buckthornhub.routetable.review.RouteTableReview
import org.buckthornhub.routetable.review.Severity

/** Findings of one document, sorted by line. */
internal class CheckReport(
    private val name: String,
    private val document: ReviewedDocument,
    inForce: RouteTable?,
) {
    private val findings: List<Finding> =
        (document.errors + document.draft?.let { RouteTableReview.findingsIn(it, inForce) }.orEmpty()).sortedBy { lineOf(it) ?: 0 }

    val exitCode: ExitCode get() = if (findings.any { it.severity == Severity.ERROR }) ExitCode.REFUSED else ExitCode.DONE

    fun text(): String {
        val summary = Severity.entries.joinToString { severity ->
            "${findings.count { it.severity == severity }} ${severity.name.lowercase()}s"
        }
        return (
            findings.map {
                "$name:${lineOf(it) ?: 1}: ${it.severity.name.lowercase()}: ${it.text}"
            } + "$name: $summary"
            ).joinToString("\n")
    }

    fun json(): String = WireJson.encodeToString(
        ListSerializer(FindingBody.serializer()),
        findings.map { FindingBody(it.severity.name.lowercase(), lineOf(it), it.text) },
    )

    private fun lineOf(finding: Finding): Int? = document.lines[finding.entry] ?: document.lines[EntryReference.TABLE]
}
