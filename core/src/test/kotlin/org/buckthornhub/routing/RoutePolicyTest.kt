package org.buckthornhub.routing

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class RoutePolicyTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a request goes where its case says`(case: RouteCase) {
        val query =
            RouteQuery(
                operation = Operation.Run(Statement(group, case.access, "get x", repeatable = true)),
                position = case.position,
                zone = ZoneId("a"),
                nowMillis = case.nowMillis,
                leadership = case.leadership,
                hints = case.hints,
                avoided = case.avoided.map { TargetId(it) }.toPersistentSet(),
                needsPrimary = case.needsPrimary,
            )
        val route = ReplicaRoutePolicy().route(query, FleetView(targets = case.targets.associateBy { it.target }.toPersistentMap()))
        assertEquals(case.error, route.getError()?.kind)
        assertEquals(case.target, route.get()?.target?.value)
    }

    private companion object {
        private val group = GroupId("g")
        private val primary = target("p", "b", TargetRole.PRIMARY, index = 9)
        private val near = target("near", "a", TargetRole.REPLICA, index = 5)
        private val far = target("far", "c", TargetRole.REPLICA, index = 8)
        private val all = listOf(primary, near, far)
        private val fresh = all.map { it.copy(heardMillis = 900) }

        private fun target(name: String, zone: String, role: TargetRole, index: Long, term: Long = 1) = TargetEntry(
            target = TargetId(name),
            group = group,
            zone = ZoneId(zone),
            address = "127.0.0.1:1",
            role = role,
            term = Term(term),
            received = LogPosition(index),
            applied = LogPosition(index),
            slots = 3,
        )

        private fun at(index: Long, term: Long = 1) = Position(Term(term), LogPosition(index))

        private fun hint(name: String, applied: Long, lagMillis: Double, writtenMillis: Long, written: Long = 9) = PositionHints(
            samples = persistentMapOf(group to listOf(PositionSample(at(written), writtenMillis)).toPersistentList()),
            replicas = persistentMapOf(TargetId(name) to ReplicaHint(at(applied), lagMillis)),
        )

        // Term 2 began at 6 on the near instance.
        private val promoted =
            GroupLeadership(group, Term(2), TargetId("near"), LogPosition(6), persistentMapOf(Term(1) to LogPosition(1)))
        private val afterFailover =
            listOf(primary, near.copy(role = TargetRole.PRIMARY, term = Term(2)), far.copy(term = Term(2), applied = LogPosition(6)))

        @JvmStatic
        fun cases(): List<RouteCase> = listOf(
            RouteCase("a new session stays in its zone", targets = all, target = "near"),
            RouteCase("a held position in the own zone", at(5), targets = all, target = "near"),
            RouteCase("a position held only elsewhere", at(6), targets = all, target = "far"),
            RouteCase("a position held by nobody but the primary", at(9), targets = all, target = "p"),
            RouteCase("a write", access = Access.WRITE, targets = all, target = "p"),
            RouteCase(
                "an answer told of a newer position than the announcement",
                at(9),
                targets = all,
                hints = hint("near", 9, 0.0, 0),
                target = "near",
            ),
            RouteCase("a replica that is about to hold it", at(9), targets = all, hints = hint("near", 5, 50.0, 955), target = "near"),
            RouteCase(
                "a replica that will take longer than the wait",
                at(9),
                targets = all,
                hints = hint("near", 5, 500.0, 955),
                target = "p",
            ),
            RouteCase("a session in doubt of a write", targets = all, needsPrimary = true, target = "p"),
            RouteCase("a replica met in vain", targets = all, avoided = listOf("near"), target = "far"),
            RouteCase("every replica met in vain", targets = all, avoided = listOf("near", "far"), target = "p"),
            RouteCase("the primary met in vain", at(9), targets = all, avoided = listOf("p"), target = "near"),
            RouteCase("a replica that leaves", targets = listOf(primary, near.copy(leaving = true), far), target = "far"),
            RouteCase(
                "a replica not heard of for 2 s",
                targets = listOf(primary, near.copy(heardMillis = 900), far.copy(heardMillis = 2_900)),
                nowMillis = 3_000,
                target = "far",
            ),
            RouteCase("replicas heard of lately", targets = fresh, target = "near"),
            RouteCase("a cut-off zone without a primary", at(9), targets = listOf(near), target = "near"),
            RouteCase("an unknown group", targets = emptyList(), error = ErrorKind.GROUP_UNKNOWN),
            RouteCase(
                "a write of the old term that was lost",
                at(6),
                targets = afterFailover,
                leadership = promoted,
                error = ErrorKind.WRITE_LOST,
            ),
            RouteCase("the same for a write", at(6), Access.WRITE, afterFailover, leadership = promoted, error = ErrorKind.WRITE_LOST),
            RouteCase("a write of the old term that survived", at(5), targets = afterFailover, leadership = promoted, target = "far"),
            RouteCase(
                "a write goes to the committed primary, whoever claims to lead",
                access = Access.WRITE,
                targets = all,
                leadership = promoted,
                target = "near",
            ),
            RouteCase(
                "a replica of the old term, for a session of the new one",
                at(6, term = 2),
                targets = listOf(far, near.copy(role = TargetRole.PRIMARY, term = Term(2))),
                leadership = promoted,
                target = "near",
            ),
        )
    }
}
