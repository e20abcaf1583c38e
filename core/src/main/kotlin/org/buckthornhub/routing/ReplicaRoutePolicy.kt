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
 * Routes a read to a replica that is known to have applied the position of its session, else to one that is expected to
 * apply it within [waitMillis], else to the primary, else to any replica that may still catch up. Replicas in the own zone
 * are preferred. Operations that need the primary go to [fallback].
 */
public class ReplicaRoutePolicy(
    private val fallback: RoutePolicy = PrimaryRoutePolicy(),
    private val waitMillis: Long = DEFAULT_WAIT_MILLIS,
) : RoutePolicy {
    override fun route(query: RouteQuery, view: FleetView): Result<Route, ProxyError> {
        val history = History(query.leadership)
        if (history.isLost(query.position)) return Err(writeLost(query))
        if (!query.operation.isRead() || query.needsPrimary) return fallback.route(query, view)
        val replicas = view.targetsOf(query.operation.group).filter { isUsable(it, query, history) }
        val replicaRoute = caughtUpReplica(replicas, query, history) ?: catchingUpReplica(replicas, query)
        if (replicaRoute != null) return Ok(replicaRoute)
        val primary = fallback.route(query, view)
        val isPrimaryUsable = primary.get()?.let { it.target !in query.avoided } ?: false
        return if (isPrimaryUsable) primary else anyReplica(replicas, query) ?: primary
    }

    private fun caughtUpReplica(replicas: List<TargetEntry>, query: RouteQuery, history: History): Route? {
        val replica = replicas.filter { history.contains(newestApplied(it, query), query.position) }.nearest(query) ?: return null
        return Route(replica.target, "replica in zone ${replica.zone} has position ${query.position.index.value}", waitMillis)
    }

    private fun catchingUpReplica(replicas: List<TargetEntry>, query: RouteQuery): Route? {
        val replica =
            replicas.filter { expectedWaitMillis(it, query)?.let { wait -> wait <= waitMillis } ?: false }.nearest(query) ?: return null
        return Route(replica.target, "replica in zone ${replica.zone} will soon have position ${query.position.index.value}", waitMillis)
    }

    private fun anyReplica(replicas: List<TargetEntry>, query: RouteQuery): Result<Route, ProxyError>? =
        replicas.nearest(query)?.let { Ok(Route(it.target, "no primary is in reach", waitMillis)) }

    private fun expectedWaitMillis(replica: TargetEntry, query: RouteQuery): Double? {
        val hint = query.hints.replicas[replica.target] ?: return null
        val writtenMillis = query.hints.firstObservedMillis(query.operation.group, query.position) ?: query.nowMillis
        return writtenMillis + hint.lagMillis - query.nowMillis
    }

    private fun isUsable(entry: TargetEntry, query: RouteQuery, history: History): Boolean {
        val isRecentlyAnnounced = entry.announcedMillis == 0L || query.nowMillis - entry.announcedMillis < MAX_ANNOUNCEMENT_AGE_MILLIS
        val isSuperseded = entry.term < query.position.term || history.isReplaced(entry.term) && query.position.term > entry.term
        return entry.role == TargetRole.REPLICA && !entry.leaving && isRecentlyAnnounced && !isSuperseded && entry.target !in query.avoided
    }

    private fun newestApplied(entry: TargetEntry, query: RouteQuery): Position {
        val announced = Position(entry.term, entry.applied)
        val hint = query.hints.replicas[entry.target]?.applied ?: return announced
        return if (hint.term == announced.term && hint.index > announced.index) hint else announced
    }

    // Prefers the own zone; the hash spreads requests over the replicas of a zone.
    private fun List<TargetEntry>.nearest(query: RouteQuery): TargetEntry? =
        minWithOrNull(compareBy({ it.zone != query.zone }, { (it.target.value to query.operation).hashCode() }))

    private fun writeLost(query: RouteQuery) = ProxyError(
        ErrorKind.WRITE_LOST,
        "the write at position ${query.position.index.value} of term ${query.position.term.value} was lost in a failover",
    )

    private companion object {
        const val DEFAULT_WAIT_MILLIS = 10L
        const val MAX_ANNOUNCEMENT_AGE_MILLIS = 2_000L
    }
}
