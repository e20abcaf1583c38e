package org.buckthornhub.routetable.review

import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee

/** Limits that are accepted, but exclude each other or everything. */
internal object ContradictoryLimits : DraftRule {
    override fun findingsIn(draft: RouteTableDraft): List<Finding> = table(draft) + routes(draft) + groups(draft) + organisations(draft)

    private fun table(draft: RouteTableDraft): List<Finding> = listOfNotNull(
        "transactions may be idle for ${draft.table.transactionIdleMillis} ms, so each one is rolled back at its first pause"
            .takeIf { draft.table.transactionIdleMillis <= 0 },
    ).map { Finding(Severity.WARNING, EntryReference.TABLE, it) }

    private fun routes(draft: RouteTableDraft): List<Finding> = draft.routes.withIndex().flatMap { (index, route) ->
        route?.let { contradictionsIn(it) }.orEmpty().map { Finding(Severity.WARNING, EntryReference(EntryKind.ROUTE, index), it) }
    }

    private fun contradictionsIn(route: DatabaseRoute): List<String> = listOfNotNull(
        objectiveError(route),
        "route ${route.name}: ${route.maxAttempts} attempts allow no statement".takeIf { route.maxAttempts < 1 },
        stalenessError(route),
    )

    private fun objectiveError(route: DatabaseRoute): String? {
        if (route.statementTimeoutMillis !in 1 until route.objectiveMillis) return null
        return "route ${route.name}: the objective of ${route.objectiveMillis} ms is above the statement timeout of " +
            "${route.statementTimeoutMillis} ms"
    }

    private fun stalenessError(route: DatabaseRoute): String? {
        val maxAgeMillis = when (val guarantee = route.guarantee) {
            is ReadGuarantee.Latest -> return null
            is ReadGuarantee.BoundedAge -> guarantee.maxAgeMillis
            is ReadGuarantee.OwnWrites -> guarantee.maxAgeMillis
        }
        return "route ${route.name}: a staleness bound of $maxAgeMillis ms leaves only the primary to read from".takeIf {
            maxAgeMillis <= 0
        }
    }

    private fun groups(draft: RouteTableDraft): List<Finding> = draft.groups.withIndex()
        .filter { (_, group) -> group.second.maxConnections < 1 }
        .map { (index, group) ->
            val text = "group ${group.first}: ${group.second.maxConnections} connections allow no statement"
            Finding(Severity.WARNING, EntryReference(EntryKind.GROUP, index), text)
        }

    private fun organisations(draft: RouteTableDraft): List<Finding> = draft.organisations.withIndex().flatMap { (index, access) ->
        contradictionsIn(access).map { Finding(Severity.WARNING, EntryReference(EntryKind.ORGANISATION, index), it) }
    }

    private fun contradictionsIn(access: OrganisationAccess): List<String> = listOfNotNull(
        "organisation ${access.organisation}: a burst of ${access.burst} admits no operation".takeIf { access.burst < 1 },
        "organisation ${access.organisation}: a rate of ${access.ratePerSecond}/s never refills its burst of ${access.burst}"
            .takeIf { access.ratePerSecond <= 0 && access.burst >= 1 },
    )
}
