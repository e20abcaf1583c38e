package org.buckthornhub.routing

import com.github.michaelbull.result.get
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.Statement
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import kotlin.random.Random

/**
 * Simulates sessions, nine in ten of whose requests are reads, on one primary and two replicas that lag it by [lagMillis].
 * As in production, the owner of a replica serves a read if the replica applies the position within the wait, and returns
 * the applied position otherwise.
 */
internal class ReplicaShareTrace(
    private val seed: Int,
    private val lagMillis: Long,
) {
    private var writes: List<Long> = emptyList()
    private var sessions: Map<Int, Position> = emptyMap()
    private var hints = PositionHints()
    private var result = ReplicaShareResult()

    fun run(policy: RoutePolicy): ReplicaShareResult {
        val random = Random(seed)
        (0 until DURATION_MILLIS step STEP_MILLIS).forEach { now ->
            if (now % ANNOUNCE_MILLIS == 0L) announce(now)
            val session = random.nextInt(SESSIONS)
            if (random.nextDouble() < WRITE_SHARE) write(session, now) else read(policy, session, now)
        }
        return result
    }

    private fun write(session: Int, now: Long) {
        writes = writes + now
        val position = Position(Term(1), LogPosition(writes.size.toLong()))
        sessions = sessions + (session to position)
        hints = hints.withPrimaryPosition(group, position, now)
    }

    private fun read(policy: RoutePolicy, session: Int, now: Long) {
        val needed = sessions[session] ?: Position.START
        result = result.copy(reads = result.reads + 1, byOracle = result.byOracle + if (appliedAt(now) >= needed.index.value) 1 else 0)
        generateSequence(emptySet<TargetId>() to now) { (avoided, time) -> attempt(policy, needed, avoided, time) }.last()
    }

    /** Returns the targets to avoid in the next attempt and its time; null once the read is served. */
    private fun attempt(policy: RoutePolicy, needed: Position, avoided: Set<TargetId>, now: Long): Pair<Set<TargetId>, Long>? {
        val query = RouteQuery(operation, needed, ZoneId("a"), now, hints = hints, avoided = avoided.toPersistentSet())
        val route = checkNotNull(policy.route(query, view).get())
        if (route.target == primary) return null
        val caughtUpMillis = (now..now + route.waitMillis).firstOrNull { appliedAt(it) >= needed.index.value }
        val answeredMillis = caughtUpMillis ?: (now + route.waitMillis)
        val applied = Position(Term(1), LogPosition(appliedAt(answeredMillis)))
        hints = hints.withReplicaPosition(group, route.target, applied, answeredMillis)
        result = result.copy(waitedMillis = result.waitedMillis + answeredMillis - now)
        if (caughtUpMillis == null) return avoided + route.target to answeredMillis
        result = result.copy(byReplica = result.byReplica + 1, stale = result.stale + if (applied.index < needed.index) 1 else 0)
        return null
    }

    private fun announce(now: Long) {
        val applied = LogPosition(appliedAt(now))
        val written = LogPosition(writes.size.toLong())
        view = FleetView(
            targets =
            listOf(
                entry("p", "c", TargetRole.PRIMARY, written, now),
                entry("r1", "a", TargetRole.REPLICA, applied, now),
                entry("r2", "b", TargetRole.REPLICA, applied, now),
            )
                .associateBy { it.target }
                .toPersistentMap(),
        )
        hints = PositionDecider().decide(hints, PositionMessage.Announced(view), now).state
    }

    private fun appliedAt(now: Long): Long = writes.count { it + lagMillis <= now }.toLong()

    private var view = FleetView()

    private fun entry(name: String, zone: String, role: TargetRole, index: LogPosition, now: Long) =
        TargetEntry(TargetId(name), group, ZoneId(zone), "127.0.0.1:1", role, Term(1), index, index, slots = 3, announcedMillis = now)

    private companion object {
        val group = GroupId("g")
        val primary = TargetId("p")
        val operation = Operation.Run(Statement(group, Access.READ, "get x", repeatable = true))
        const val SESSIONS = 20
        const val WRITE_SHARE = 0.1
        const val STEP_MILLIS = 2L
        const val DURATION_MILLIS = 20_000L
        const val ANNOUNCE_MILLIS = 200L
    }
}
