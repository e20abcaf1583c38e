package org.buckthornhub.pool

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Connections to one target by slot number.
 *
 * @property slots maximum number of connections that the target accepts
 * @property reducedSlots maximum number of connections assumed until [reducedUntilMillis], after the target refused one
 */
public data class SlotPool(
    val slots: Int,
    val connections: PersistentMap<Int, PooledConnection> = persistentMapOf(),
    val nextSlot: Int = 1,
    val reducedSlots: Int = slots,
    val reducedUntilMillis: Long = 0,
) {
    /** Returns the slot of the most recently used idle connection, so that the others can expire; null if none is idle. */
    public fun idleSlot(): Int? = connections.entries
        .filter { it.value.state is ConnectionState.Idle }
        .maxByOrNull { (it.value.state as ConnectionState.Idle).sinceMillis }
        ?.key

    /** True if one more connection may be opened. */
    public fun mayOpen(nowMillis: Long): Boolean = connections.size < capacityAt(nowMillis)

    /** True if a connection is being opened. */
    public fun isConnecting(): Boolean = connections.values.any { it.state == ConnectionState.Connecting }

    /** Returns this pool with a connection being opened in [nextSlot]. */
    public fun connecting(): SlotPool = copy(
        connections = connections.put(nextSlot, PooledConnection(name = null, state = ConnectionState.Connecting)),
        nextSlot = nextSlot + 1,
    )

    public fun opened(slot: Int, name: String, nowMillis: Long): SlotPool =
        copy(connections = connections.put(slot, PooledConnection(name, ConnectionState.Idle(nowMillis))))

    /** Removes [slot], which the target refused, and limits the pool to the open connections for a while. */
    public fun refused(slot: Int, nowMillis: Long, limits: PoolLimits): SlotPool {
        val rest = without(slot)
        // Without any open connection no call can run, so the next attempt comes sooner.
        val pauseMillis = if (rest.connections.isEmpty()) limits.emptyPoolRefusalPauseMillis else limits.refusalPauseMillis
        return rest.copy(reducedSlots = rest.connections.size, reducedUntilMillis = nowMillis + pauseMillis)
    }

    public fun inState(slot: Int, state: ConnectionState): SlotPool {
        val connection = connections[slot] ?: return this
        return copy(connections = connections.put(slot, connection.copy(state = state)))
    }

    public fun without(slot: Int): SlotPool = copy(connections = connections.remove(slot))

    /** Returns the slots whose connection has been idle for too long. */
    public fun expiredSlots(nowMillis: Long, limits: PoolLimits): List<Int> = connections.entries
        .filter { (_, connection) ->
            (connection.state as? ConnectionState.Idle)?.let { nowMillis - it.sinceMillis >= limits.idleMillis }
                ?: false
        }
        .map { it.key }

    /** Returns the idle slots whose connection has not answered for a heartbeat. */
    public fun slotsToPing(nowMillis: Long, limits: PoolLimits): List<Int> = connections.entries
        .filter { (_, connection) ->
            (connection.state as? ConnectionState.Idle)?.let { nowMillis - it.lastAnswerMillis >= limits.heartbeatMillis }
                ?: false
        }
        .map { it.key }

    /** Makes the connection of [slot] idle again after it answered its ping. */
    public fun pingAnswered(slot: Int, nowMillis: Long): SlotPool {
        val pinged = connections[slot]?.state as? ConnectionState.Pinging ?: return this
        return inState(slot, ConnectionState.Idle(pinged.sinceMillis, lastAnswerMillis = nowMillis))
    }

    private fun capacityAt(nowMillis: Long) = if (nowMillis < reducedUntilMillis) minOf(reducedSlots, slots) else slots
}
