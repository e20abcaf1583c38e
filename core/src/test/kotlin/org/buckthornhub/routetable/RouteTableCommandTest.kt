package org.buckthornhub.routetable

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.control.ControlStateMachine
import org.buckthornhub.control.MachineState
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.review.RouteTableDraft
import org.buckthornhub.routetable.review.RouteTableReview
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals
import kotlin.test.assertIs

internal class RouteTableCommandTest {
    @ParameterizedTest
    @MethodSource("orders")
    fun `the highest version is kept in any order of arrival, and every table is acknowledged`(versions: List<Long>) {
        val state = versions.withIndex().fold(MachineState()) { state, (index, version) ->
            val stored = StoredRouteTable(RouteTable(version), "$version, sent as number $index")
            val (next, outcome) = ControlStateMachine.apply(state, ControlCommand.ReplaceRouteTable(stored))
            assertIs<CommandOutcome.Accepted>(outcome)
            next
        }
        val stored = state.control.routeTable
        val highest = versions.max()
        assertEquals(highest, stored?.table?.version)
        assertEquals("$highest, sent as number ${versions.indexOf(highest)}", stored?.document)
    }

    @ParameterizedTest
    @MethodSource("invalidTables")
    fun `each error is reported`(case: RouteTableCase) {
        val groups = listOf(GroupId("g") to GroupLimits(9))
        val draft = RouteTableDraft(RouteTable(1, groups = groups.toMap()), case.routes, groups, case.organisations)
        assertEquals(case.errors, RouteTableReview.errorsIn(draft).size)
    }

    private companion object {
        private val route = DatabaseRoute("r", DatabaseName("d"), GroupId("g"), ReadGuarantee.Latest, 100, 100)
        private val access = OrganisationAccess(OrganisationId("o"), setOf(KeyDigest("k1")), 1.0, 1.0)

        @JvmStatic
        fun orders(): List<List<Long>> = listOf(listOf(1, 2, 3), listOf(3, 1, 2), listOf(2, 2, 1), listOf(5), listOf(1, 7, 7, 3))

        @JvmStatic
        fun invalidTables(): List<RouteTableCase> = listOf(
            RouteTableCase("a valid table", listOf(route), listOf(access), errors = 0),
            RouteTableCase("a route to an unknown group", listOf(route.copy(group = GroupId("x"))), emptyList(), errors = 1),
            RouteTableCase("a route without a timeout", listOf(route.copy(statementTimeoutMillis = 0)), emptyList(), errors = 1),
            RouteTableCase("two routes for a database", listOf(route, route.copy(name = "s")), emptyList(), errors = 1),
            RouteTableCase(
                "a key of two organisations",
                listOf(route),
                listOf(access, access.copy(organisation = OrganisationId("p"))),
                errors = 1,
            ),
            RouteTableCase("a duplicate organisation", listOf(route), listOf(access, access.copy(keys = emptySet())), errors = 1),
        )
    }
}
