package org.buckthornhub.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.group.History
import org.buckthornhub.group.Position
import org.buckthornhub.statement.isRead
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetRole

/**
 * Sends a read to a replica that is known to hold the position of its session, else to one that is expected to hold it
 * within [waitMillis], the own zone first, else to the primary, else to any replica that may still catch up.
 */
public class ReplicaRoutePolicy(
    private val fallback: RoutePolicy = PrimaryRoutePolicy(),
    private val waitMillis: Long = WAIT_MILLIS,
) : RoutePolicy {
    override fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError> {
        val history = History(query.leadership)
        if (history.isLost(query.position)) return Err(lost(query))
        if (!query.operation.isRead() || query.needsPrimary) return fallback.route(query, view)
        val replicas = view.targetsOf(query.operation.group).filter { isUsable(it, query, history) }
        val knownOrExpected = known(replicas, query, history) ?: expected(replicas, query)
        if (knownOrExpected != null) return Ok(knownOrExpected)
        val primary = fallback.route(query, view)
        val isInReach = primary.get()?.let { it.target !in query.avoided } ?: false
        return if (isInReach) primary else lastResort(replicas, query) ?: primary
    }

    private fun known(replicas: List<TargetEntry>, query: RouteQuery, history: History): Route? {
        val replica = replicas.filter { history.contains(appliedBy(it, query), query.position) }.nearest(query) ?: return null
        return Route(replica.target, "replica in zone ${replica.zone} holds position ${query.position.index.value}", waitMillis)
    }

    private fun expected(replicas: List<TargetEntry>, query: RouteQuery): Route? {
        val replica =
            replicas.filter { expectedWaitMillis(it, query)?.let { wait -> wait <= waitMillis } ?: false }.nearest(query) ?: return null
        return Route(replica.target, "replica in zone ${replica.zone} is about to hold position ${query.position.index.value}", waitMillis)
    }

    private fun lastResort(replicas: List<TargetEntry>, query: RouteQuery): Result<Route, ProxyError>? =
        replicas.nearest(query)?.let { Ok(Route(it.target, "no primary is in reach", waitMillis)) }

    private fun expectedWaitMillis(replica: TargetEntry, query: RouteQuery): Double? {
        val hint = query.hints.replicas[replica.target] ?: return null
        val writtenMillis = query.hints.firstHeardMillis(query.operation.group, query.position) ?: query.nowMillis
        return writtenMillis + hint.lagMillis - query.nowMillis
    }

    private fun isUsable(entry: TargetEntry, query: RouteQuery, history: History): Boolean {
        val isHeard = entry.heardMillis == 0L || query.nowMillis - entry.heardMillis < SILENCE_MILLIS
        val isTooOld = entry.term < query.position.term || history.isReplaced(entry.term) && query.position.term > entry.term
        return entry.role == TargetRole.REPLICA && !entry.leaving && isHeard && !isTooOld && entry.target !in query.avoided
    }

    private fun appliedBy(entry: TargetEntry, query: RouteQuery): Position {
        val announced = Position(entry.term, entry.applied)
        val hint = query.hints.replicas[entry.target]?.applied ?: return announced
        return if (hint.term == announced.term && hint.index > announced.index) hint else announced
    }

    // Equals share the load by request.
    private fun List<TargetEntry>.nearest(query: RouteQuery): TargetEntry? =
        minWithOrNull(compareBy({ it.zone != query.zone }, { (it.target.value to query.operation).hashCode() }))

    private fun lost(query: RouteQuery) = ProxyError(
        ErrorKind.WRITE_LOST,
        "the write at ${query.position.index.value} of term ${query.position.term.value} did not survive a failover",
    )

    private companion object {
        const val WAIT_MILLIS = 10L
        const val SILENCE_MILLIS = 2_000L
    }
}
