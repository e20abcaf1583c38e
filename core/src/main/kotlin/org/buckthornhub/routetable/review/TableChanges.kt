package org.buckthornhub.routetable.review

import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.RouteTable

/** What differs from [inForce], the table that applies now. */
internal class TableChanges(private val inForce: RouteTable) : DraftRule {
    override fun findingsIn(draft: RouteTableDraft): List<Finding> = versionFindings(draft) + changesOf(draft)

    private fun versionFindings(draft: RouteTableDraft): List<Finding> {
        val version = draft.table.version
        val text = when {
            version < inForce.version -> "version $version is below version ${inForce.version} in force: it would change nothing"
            version == inForce.version && draft.table != inForce ->
                "version $version is in force with other content: it would change nothing; use a higher version"
            else -> return emptyList()
        }
        return listOf(Finding(Severity.WARNING, EntryReference.TABLE, text))
    }

    private fun changesOf(draft: RouteTableDraft): List<Finding> {
        val routes = draft.routes.withIndex().mapNotNull { (index, route) -> route?.let { Entry("${it.database}", it, index) } }
        val groups = draft.groups.withIndex().map { (index, group) -> Entry("${group.first}", group.second, index) }
        val organisations = draft.organisations.withIndex().map { (index, access) -> Entry("${access.organisation}", access, index) }
        return compare(EntryKind.ROUTE, "route of database", inForce.routes.entries.associate { "${it.key}" to it.value }, routes) +
            compare(EntryKind.GROUP, "group", inForce.groups.entries.associate { "${it.key}" to it.value }, groups) +
            compare(
                EntryKind.ORGANISATION,
                "organisation",
                inForce.organisations.entries.associate {
                    "${it.key}" to it.value
                },
                organisations,
            ) +
            transactionIdle(draft)
    }

    private fun <T> compare(kind: EntryKind, noun: String, known: Map<String, T>, entries: List<Entry<T>>): List<Finding> {
        val changed = entries.mapNotNull { entry ->
            val before = known[entry.name]
            val text = if (before == null) "$noun ${entry.name} is added" else describe(noun, entry.name, before, entry.value)
            text?.let { Finding(Severity.CHANGE, EntryReference(kind, entry.index), it) }
        }
        val removed = (known.keys - entries.map { it.name }.toSet()).sorted()
            .map { Finding(Severity.CHANGE, EntryReference.TABLE, "$noun $it is removed") }
        return changed + removed
    }

    private fun <T> describe(noun: String, name: String, before: T, after: T): String? = when {
        before == after -> null
        before is OrganisationAccess && after is OrganisationAccess -> "$noun $name: ${describe(before, after)}"
        else -> "$noun $name changes from $before to $after"
    }

    // Digests of keys are counted and not printed.
    private fun describe(before: OrganisationAccess, after: OrganisationAccess): String = listOfNotNull(
        "${(after.keys - before.keys).size} keys are added".takeIf { (after.keys - before.keys).isNotEmpty() },
        "${(before.keys - after.keys).size} keys are withdrawn".takeIf { (before.keys - after.keys).isNotEmpty() },
        "the rate changes from ${before.ratePerSecond}/s to ${after.ratePerSecond}/s".takeIf {
            before.ratePerSecond != after.ratePerSecond
        },
        "the burst changes from ${before.burst} to ${after.burst}".takeIf { before.burst != after.burst },
        "the priority changes from ${before.priority} to ${after.priority}".takeIf { before.priority != after.priority },
    ).joinToString("; ")

    private fun transactionIdle(draft: RouteTableDraft): List<Finding> {
        val (before, after) = inForce.transactionIdleMillis to draft.table.transactionIdleMillis
        if (before == after) return emptyList()
        return listOf(Finding(Severity.CHANGE, EntryReference.TABLE, "the idle time of transactions changes from $before to $after ms"))
    }

    private class Entry<T>(
        val name: String,
        val value: T,
        val index: Int,
    )
}
