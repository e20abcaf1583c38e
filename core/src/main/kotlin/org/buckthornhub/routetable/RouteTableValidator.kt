package org.buckthornhub.routetable

/** Validates a route table before it is proposed to the control quorum; reports all errors at once. */
public object RouteTableValidator {
    /** @param routes all routes that the operator sent, including several for one database */
    public fun errorsIn(table: RouteTable, routes: List<DatabaseRoute>, organisations: List<OrganisationAccess>): List<String> =
        routeErrors(table, routes) + organisationErrors(organisations)

    private fun routeErrors(table: RouteTable, routes: List<DatabaseRoute>): List<String> {
        val duplicates = routes.groupBy { it.database }.filterValues { it.size > 1 }.keys.map { "database $it has several routes" }
        val invalid = routes.flatMap { route ->
            listOfNotNull(
                "route ${route.name} names the unknown group ${route.group}".takeIf { route.group !in table.groups },
                "route ${route.name} has no positive statement timeout".takeIf { route.statementTimeoutMillis <= 0 },
            )
        }
        return duplicates + invalid
    }

    private fun organisationErrors(organisations: List<OrganisationAccess>): List<String> {
        val shared = organisations
            .flatMap { access -> access.keys.map { it to access.organisation } }
            .groupBy({ it.first }, { it.second })
            .filterValues { it.size > 1 }
            .values
            .map { "organisations ${it.joinToString()} share a key" }
        val duplicates = organisations.groupBy { it.organisation }.filterValues { it.size > 1 }.keys.map { "organisation $it stands twice" }
        return shared + duplicates
    }
}
