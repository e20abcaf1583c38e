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
    fun `a request is routed to the expected target or fails with the expected error`(case: RouteCase) {
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
        private val fresh = all.map { it.copy(announcedMillis = 900) }

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

        // Term 2 began at position 6 on the near instance.
        private val promoted =
            GroupLeadership(group, Term(2), TargetId("near"), LogPosition(6), persistentMapOf(Term(1) to LogPosition(1)))
        private val afterFailover =
            listOf(primary, near.copy(role = TargetRole.PRIMARY, term = Term(2)), far.copy(term = Term(2), applied = LogPosition(6)))

        @JvmStatic
        fun cases(): List<RouteCase> = listOf(
            RouteCase("a new session reads from a replica in the own zone", targets = all, target = "near"),
            RouteCase("a position applied in the own zone", at(5), targets = all, target = "near"),
            RouteCase("a position applied only in another zone", at(6), targets = all, target = "far"),
            RouteCase("a position applied only by the primary", at(9), targets = all, target = "p"),
            RouteCase("a write", access = Access.WRITE, targets = all, target = "p"),
            RouteCase(
                "a hint with a newer position than the announcement",
                at(9),
                targets = all,
                hints = hint("near", 9, 0.0, 0),
                target = "near",
            ),
            RouteCase(
                "a replica expected to apply the position in time",
                at(9),
                targets = all,
                hints = hint("near", 5, 50.0, 955),
                target = "near",
            ),
            RouteCase(
                "a replica with more lag than the wait allows",
                at(9),
                targets = all,
                hints = hint("near", 5, 500.0, 955),
                target = "p",
            ),
            RouteCase("a session with a write of unknown outcome", targets = all, needsPrimary = true, target = "p"),
            RouteCase("an avoided replica", targets = all, avoided = listOf("near"), target = "far"),
            RouteCase("all replicas avoided", targets = all, avoided = listOf("near", "far"), target = "p"),
            RouteCase("an avoided primary", at(9), targets = all, avoided = listOf("p"), target = "near"),
            RouteCase("a replica that is shutting down", targets = listOf(primary, near.copy(leaving = true), far), target = "far"),
            RouteCase(
                "a replica without an announcement for 2 s",
                targets = listOf(primary, near.copy(announcedMillis = 900), far.copy(announcedMillis = 2_900)),
                nowMillis = 3_000,
                target = "far",
            ),
            RouteCase("replicas with recent announcements", targets = fresh, target = "near"),
            RouteCase("a partitioned zone without a primary", at(9), targets = listOf(near), target = "near"),
            RouteCase("an unknown group", targets = emptyList(), error = ErrorKind.GROUP_UNKNOWN),
            RouteCase(
                "a read after a lost write of the old term",
                at(6),
                targets = afterFailover,
                leadership = promoted,
                error = ErrorKind.WRITE_LOST,
            ),
            RouteCase(
                "a write after a lost write of the old term",
                at(6),
                Access.WRITE,
                afterFailover,
                leadership = promoted,
                error = ErrorKind.WRITE_LOST,
            ),
            RouteCase(
                "a read after a write of the old term that survived",
                at(5),
                targets = afterFailover,
                leadership = promoted,
                target = "far",
            ),
            RouteCase(
                "a write with a committed primary that differs from the announced one",
                access = Access.WRITE,
                targets = all,
                leadership = promoted,
                target = "near",
            ),
            RouteCase(
                "a replica of the old term for a session of the new term",
                at(6, term = 2),
                targets = listOf(far, near.copy(role = TargetRole.PRIMARY, term = Term(2))),
                leadership = promoted,
                target = "near",
            ),
        )
    }
}
