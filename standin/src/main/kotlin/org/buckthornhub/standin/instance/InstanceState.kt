package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetRole

/** All that one instance holds. [applied] trails the end of [log] by the replication lag. */
public data class InstanceState(
    val role: TargetRole,
    val term: Term,
    val log: PersistentList<LogEntry> = persistentListOf(),
    val applied: LogPosition = LogPosition.START,
    val data: PersistentMap<String, String> = persistentMapOf(),
    val connections: PersistentMap<String, Connection> = persistentMapOf(),
    val nextConnection: Long = 1,
    val slots: Int,
    val leaving: Boolean = false,
) {
    public val received: LogPosition get() = log.lastOrNull()?.position ?: LogPosition.START

    /** This state with every received entry up to [position] applied. */
    public fun appliedUpTo(position: LogPosition): InstanceState {
        val due = log.subList(applied.value.toInt(), minOf(position.value, received.value).toInt())
        val newData = due.flatMap { it.commands }.fold(data) { values, command -> values.after(command) }
        return copy(data = newData, applied = due.lastOrNull()?.position ?: applied)
    }
}
