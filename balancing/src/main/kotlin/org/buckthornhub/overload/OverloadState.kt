package org.buckthornhub.overload

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The connections of the process and what they hold.
 *
 * @property heldBytes sum over all connections
 * @property refusedConnections connections that were refused so far
 * @property closedForBytes connections that were closed so far because the budget was used up
 * @property closedForConnections connections that were closed so far to make room for others
 * @property closedIncomplete connections that were closed so far because a message was not completed in time
 */
public data class OverloadState(
    val limits: OverloadLimits,
    val connections: PersistentMap<GuardedId, GuardedConnection> = persistentMapOf(),
    val nextId: Long = 0,
    val heldBytes: Long = 0,
    val refusedConnections: Long = 0,
    val closedForBytes: Long = 0,
    val closedForConnections: Long = 0,
    val closedIncomplete: Long = 0,
) {
    /** Replaces what is known of a connection that is present. */
    internal fun with(changed: GuardedConnection): OverloadState {
        val before = connections[changed.id] ?: return this
        return copy(
            connections = connections.put(changed.id, changed),
            heldBytes = heldBytes - before.holding.bytes + changed.holding.bytes,
        )
    }

    internal fun without(id: GuardedId): OverloadState {
        val before = connections[id] ?: return this
        return copy(connections = connections.remove(id), heldBytes = heldBytes - before.holding.bytes)
    }
}
