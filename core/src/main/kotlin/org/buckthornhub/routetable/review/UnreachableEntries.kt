package org.buckthornhub.routetable.review

import org.buckthornhub.routetable.DatabaseRoute

/** Entries that no request can ever match. */
internal object UnreachableEntries : DraftRule {
    override fun findingsIn(draft: RouteTableDraft): List<Finding> = routes(draft) + groups(draft) + organisations(draft)

    private fun routes(draft: RouteTableDraft): List<Finding> {
        val hasKeys = draft.organisations.any { it.keys.isNotEmpty() }
        return draft.routes.withIndex().flatMap { (index, route) ->
            if (route == null) return@flatMap emptyList()
            listOfNotNull(
                nameError(route),
                "route ${route.name} requires a key, but no organisation has one".takeIf { !route.isAnonymous && !hasKeys },
            ).map { warning(EntryKind.ROUTE, index, it) }
        }
    }

    // The name is one field of a message, and fields are separated by blanks.
    private fun nameError(route: DatabaseRoute): String? {
        val name = route.database.value
        return when {
            name.isEmpty() -> "route ${route.name} has an empty database name, which no caller can send"
            name.any { it.isWhitespace() || it.isISOControl() } ->
                "route ${route.name}: the database name '$name' contains blanks or control characters, which no caller can send"
            else -> null
        }
    }

    private fun groups(draft: RouteTableDraft): List<Finding> {
        val named = draft.routes.mapNotNull { it?.group }.toSet()
        return draft.groups.withIndex()
            .filter { (_, group) -> group.first !in named }
            .map { (index, group) -> warning(EntryKind.GROUP, index, "group ${group.first} is named by no route") }
    }

    private fun organisations(draft: RouteTableDraft): List<Finding> = draft.organisations.withIndex()
        .filter { (_, access) -> access.keys.isEmpty() }
        .map { (index, access) ->
            warning(EntryKind.ORGANISATION, index, "organisation ${access.organisation} has no key, so no caller belongs to it")
        }

    private fun warning(kind: EntryKind, index: Int, text: String) = Finding(Severity.WARNING, EntryReference(kind, index), text)
}
