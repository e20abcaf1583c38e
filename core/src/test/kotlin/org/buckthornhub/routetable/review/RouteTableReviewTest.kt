package org.buckthornhub.routetable.review

import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.routetable.DatabaseRoute
import org.buckthornhub.routetable.GroupLimits
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.ReadGuarantee
import org.buckthornhub.routetable.RouteTable
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Guards against a fault in a table that its operators learn of only once it is in force. */
internal class RouteTableReviewTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `every finding is reported with its entry`(case: ReviewCase) {
        val findings = RouteTableReview.findingsIn(case.draft, case.inForce)
        assertEquals(case.findings, findings.map { "${it.severity} ${it.entry.kind} ${it.entry.index} ${it.text}" })
    }

    private companion object {
        private val route = DatabaseRoute("r", DatabaseName("d"), GroupId("g"), ReadGuarantee.Latest, 100, 100)
        private val access = OrganisationAccess(OrganisationId("o"), setOf(KeyDigest("k1")), 5.0, 10.0)
        private val group = GroupId("g") to GroupLimits(9)
        private val valid = draft()

        private fun draft(
            routes: List<DatabaseRoute?> = listOf(route),
            groups: List<Pair<GroupId, GroupLimits>> = listOf(group),
            organisations: List<OrganisationAccess> = listOf(access),
            version: Long = 2,
            idleMillis: Long = 3_000,
        ): RouteTableDraft {
            val table = RouteTable(
                version,
                routes.filterNotNull().associateBy { it.database },
                groups.toMap(),
                organisations.associateBy { it.organisation },
                idleMillis,
            )
            return RouteTableDraft(table, routes, groups, organisations)
        }

        @JvmStatic
        fun cases(): List<ReviewCase> = errors() + warnings() + changes()

        private fun errors() = listOf(
            ReviewCase("a valid table", valid, emptyList()),
            ReviewCase(
                "several errors at once",
                draft(routes = listOf(route, route.copy(name = "s", group = GroupId("x"), statementTimeoutMillis = 0))),
                listOf(
                    "ERROR ROUTE 1 database d has several routes",
                    "ERROR ROUTE 1 route s names the unknown group x",
                    "ERROR ROUTE 1 route s has no positive statement timeout",
                ),
            ),
            ReviewCase(
                "a shared key",
                draft(organisations = listOf(access, access.copy(organisation = OrganisationId("p")))),
                listOf("ERROR ORGANISATION 1 organisations o, p share a key"),
            ),
        )

        private fun warnings() = listOf(
            ReviewCase(
                "entries that nothing matches",
                draft(
                    routes = listOf(route, route.copy(name = "s", database = DatabaseName("a b"))),
                    groups = listOf(group, GroupId("h") to GroupLimits(9)),
                    organisations = listOf(access, access.copy(organisation = OrganisationId("p"), keys = emptySet())),
                ),
                listOf(
                    "WARNING ROUTE 1 route s: the database name 'a b' contains blanks or control characters, which no caller can send",
                    "WARNING GROUP 1 group h is named by no route",
                    "WARNING ORGANISATION 1 organisation p has no key, so no caller belongs to it",
                ),
            ),
            ReviewCase(
                "no keys at all",
                draft(organisations = emptyList()),
                listOf("WARNING ROUTE 0 route r requires a key, but no organisation has one"),
            ),
            ReviewCase(
                "limits of a route",
                draft(routes = listOf(route.copy(guarantee = ReadGuarantee.BoundedAge(0), objectiveMillis = 300, maxAttempts = 0))),
                listOf(
                    "WARNING ROUTE 0 route r: the objective of 300 ms is above the statement timeout of 100 ms",
                    "WARNING ROUTE 0 route r: 0 attempts allow no statement",
                    "WARNING ROUTE 0 route r: a staleness bound of 0 ms leaves only the primary to read from",
                ),
            ),
            ReviewCase(
                "limits that allow nothing",
                draft(
                    groups = listOf(GroupId("g") to GroupLimits(0)),
                    organisations = listOf(
                        access.copy(burst = 0.5),
                        access.copy(organisation = OrganisationId("p"), keys = setOf(KeyDigest("k2")), ratePerSecond = 0.0),
                    ),
                    idleMillis = 0,
                ),
                listOf(
                    "WARNING TABLE 0 transactions may be idle for 0 ms, so each one is rolled back at its first pause",
                    "WARNING GROUP 0 group g: 0 connections allow no statement",
                    "WARNING ORGANISATION 0 organisation o: a burst of 0.5 admits no operation",
                    "WARNING ORGANISATION 1 organisation p: a rate of 0.0/s never refills its burst of 10.0",
                ),
            ),
        )

        private fun changes() = listOf(
            ReviewCase("the same table", valid, emptyList(), inForce = valid.table),
            ReviewCase(
                "an older version",
                draft(version = 1),
                listOf("WARNING TABLE 0 version 1 is below version 2 in force: it would change nothing"),
                inForce = valid.table,
            ),
            ReviewCase(
                "other content under the version in force",
                draft(idleMillis = 4_000),
                listOf(
                    "WARNING TABLE 0 version 2 is in force with other content: it would change nothing; use a higher version",
                    "CHANGE TABLE 0 the idle time of transactions changes from 3000 to 4000 ms",
                ),
                inForce = valid.table,
            ),
            ReviewCase(
                "added, changed and removed entries",
                draft(
                    routes = listOf(route.copy(database = DatabaseName("e"))),
                    groups = listOf(GroupId("g") to GroupLimits(12)),
                    organisations = listOf(access.copy(keys = setOf(KeyDigest("k2"), KeyDigest("k3")), burst = 20.0)),
                    version = 3,
                ),
                listOf(
                    "CHANGE ROUTE 0 route of database e is added",
                    "CHANGE TABLE 0 route of database d is removed",
                    "CHANGE GROUP 0 group g changes from GroupLimits(maxConnections=9, syncReplicas=null) " +
                        "to GroupLimits(maxConnections=12, syncReplicas=null)",
                    "CHANGE ORGANISATION 0 organisation o: 2 keys are added; 1 keys are withdrawn; the burst changes from 10.0 to 20.0",
                ),
                inForce = valid.table,
            ),
        )
    }
}
