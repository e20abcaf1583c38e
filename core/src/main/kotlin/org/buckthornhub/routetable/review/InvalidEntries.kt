package org.buckthornhub.routetable.review

/** Entries for which the control quorum refuses the whole table. */
internal object InvalidEntries : DraftRule {
    override fun findingsIn(draft: RouteTableDraft): List<Finding> =
        duplicateRoutes(draft) + invalidRoutes(draft) + sharedKeys(draft) + duplicateOrganisations(draft)

    private fun duplicateRoutes(draft: RouteTableDraft): List<Finding> = draft.routes.withIndex()
        .mapNotNull { (index, route) -> route?.let { it.database to index } }
        .groupBy({ it.first }, { it.second })
        .filterValues { it.size > 1 }
        .map { (database, indexes) -> error(EntryKind.ROUTE, indexes.last(), "database $database has several routes") }

    private fun invalidRoutes(draft: RouteTableDraft): List<Finding> = draft.routes.withIndex().flatMap { (index, route) ->
        if (route == null) return@flatMap emptyList()
        listOfNotNull(
            "route ${route.name} names the unknown group ${route.group}".takeIf { route.group !in draft.table.groups },
            "route ${route.name} has no positive statement timeout".takeIf { route.statementTimeoutMillis <= 0 },
        ).map { error(EntryKind.ROUTE, index, it) }
    }

    private fun sharedKeys(draft: RouteTableDraft): List<Finding> = draft.organisations.withIndex()
        .flatMap { (index, access) -> access.keys.map { it to index } }
        .groupBy({ it.first }, { it.second })
        .values
        .filter { it.size > 1 }
        .map { indexes ->
            val names = indexes.joinToString { draft.organisations[it].organisation.value }
            error(EntryKind.ORGANISATION, indexes.last(), "organisations $names share a key")
        }

    private fun duplicateOrganisations(draft: RouteTableDraft): List<Finding> = draft.organisations.withIndex()
        .groupBy({ it.value.organisation }, { it.index })
        .filterValues { it.size > 1 }
        .map { (organisation, indexes) -> error(EntryKind.ORGANISATION, indexes.last(), "organisation $organisation stands twice") }

    private fun error(kind: EntryKind, index: Int, text: String) = Finding(Severity.ERROR, EntryReference(kind, index), text)
}
