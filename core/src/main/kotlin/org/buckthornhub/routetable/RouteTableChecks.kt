package org.buckthornhub.routetable

/** Finds every fault of a route table before it is proposed. */
public object RouteTableChecks {
    /** @param routes all routes as sent, also those that share a database */
    public fun faultsOf(table: RouteTable, routes: List<DatabaseRoute>, organisations: List<OrganisationAccess>): List<String> =
        routeFaults(table, routes) + organisationFaults(organisations)

    private fun routeFaults(table: RouteTable, routes: List<DatabaseRoute>): List<String> {
        val doubled = routes.groupBy { it.database }.filterValues { it.size > 1 }.keys.map { "several routes lead from database $it" }
        val wrong = routes.flatMap { route ->
            listOfNotNull(
                "route ${route.name} leads to the unknown group ${route.group}".takeIf { route.group !in table.groups },
                "route ${route.name} has no statement timeout".takeIf { route.statementTimeoutMillis <= 0 },
            )
        }
        return doubled + wrong
    }

    private fun organisationFaults(organisations: List<OrganisationAccess>): List<String> {
        val shared = organisations
            .flatMap { access -> access.keys.map { it to access.organisation } }
            .groupBy({ it.first }, { it.second })
            .filterValues { it.size > 1 }
            .values
            .map { "organisations ${it.joinToString()} share a key" }
        val doubled = organisations.groupBy { it.organisation }.filterValues { it.size > 1 }.keys.map { "organisation $it stands twice" }
        return shared + doubled
    }
}
