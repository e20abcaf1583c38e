package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.standin.fault.Faults
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.ExecuteResponse

/**
 * State of one instance. [applied] lags behind the end of [log] by the apply lag.
 *
 * @property requests ids of the requests whose entries are applied
 * @property arriving replication messages that are delayed by the receive lag
 * @property discarded entries that were removed because the primary of a newer term did not have them
 * @property lastResponse response to the latest request, for [org.buckthornhub.standin.fault.Fault.CrossedAnswers]
 */
public data class InstanceState(
    val target: TargetId,
    val zone: ZoneId,
    val role: TargetRole,
    val term: Term,
    val settings: InstanceSettings = InstanceSettings(),
    val receiveLagMillis: Long = settings.receiveLagMillis,
    val applyLagMillis: Long = settings.applyLagMillis,
    val faults: Faults = Faults(),
    val log: PersistentList<LogEntry> = persistentListOf(),
    val applied: LogPosition = LogPosition.START,
    val data: PersistentMap<String, String> = persistentMapOf(),
    val requests: PersistentSet<String> = persistentSetOf(),
    val connections: PersistentMap<String, Connection> = persistentMapOf(),
    val nextConnection: Long = 1,
    val arriving: PersistentList<DelayedReplicate> = persistentListOf(),
    val pendingApplies: PersistentList<PendingApply> = persistentListOf(),
    val discarded: PersistentList<LogEntry> = persistentListOf(),
    val lastResponse: ExecuteResponse? = null,
) {
    public val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START

    /** Returns the term of the entry at [position], or null if it is not in the log. */
    public fun termAt(position: LogPosition): Term? =
        if (position == LogPosition.START) Term.NONE else log.getOrNull(position.value.toInt() - 1)?.term

    /** Returns this state with all received entries up to [position] applied. */
    public fun appliedUpTo(position: LogPosition): InstanceState {
        if (position <= applied) return this
        val due = log.subList(applied.value.toInt(), minOf(position.value, received.value).toInt())
        val newData = due.flatMap { it.commands }.fold(data) { values, command -> values.after(command) }
        val newRequests = requests.addAll(due.map { it.requestId })
        return copy(data = newData, requests = newRequests, applied = due.lastOrNull()?.position ?: applied)
    }

    /** Returns this state with [connection] added or replaced. */
    internal fun with(connection: Connection): InstanceState = copy(connections = connections.put(connection.id, connection))
}
