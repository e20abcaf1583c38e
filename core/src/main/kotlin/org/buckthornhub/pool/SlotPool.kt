package org.buckthornhub.pool

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The connections to one target, by slot number.
 *
 * @property slots connections that the target takes
 * @property believedSlots connections that it seems to take now; less than [slots] until [loweredUntilMillis]
 */
public data class SlotPool(
    val slots: Int,
    val connections: PersistentMap<Int, PooledConnection> = persistentMapOf(),
    val nextSlot: Int = 1,
    val believedSlots: Int = slots,
    val loweredUntilMillis: Long = 0,
) {
    /** A slot with an idle connection; the one used last, so that the others may age out. */
    public fun idleSlot(): Int? = connections.entries
        .filter { it.value.state is ConnectionState.Idle }
        .maxByOrNull { (it.value.state as ConnectionState.Idle).sinceMillis }
        ?.key

    /** True if one more connection may be opened. */
    public fun mayOpen(nowMillis: Long): Boolean = connections.size < capacityAt(nowMillis)

    /** True if a connection is on its way to being usable. */
    public fun isConnecting(): Boolean = connections.values.any { it.state == ConnectionState.Connecting }

    /** This pool with a connection being opened in the next slot, whose number is [nextSlot] before the call. */
    public fun connecting(): SlotPool = copy(
        connections = connections.put(nextSlot, PooledConnection(name = null, state = ConnectionState.Connecting)),
        nextSlot = nextSlot + 1,
    )

    public fun opened(slot: Int, name: String, nowMillis: Long): SlotPool =
        copy(connections = connections.put(slot, PooledConnection(name, ConnectionState.Idle(nowMillis))))

    /** The target has no free slot: asks for no more than what is open for a while. */
    public fun refused(slot: Int, nowMillis: Long, limits: PoolLimits): SlotPool {
        val rest = without(slot)
        // With no connection at all nothing else brings the pool back, so the next try comes sooner.
        val pauseMillis = if (rest.connections.isEmpty()) limits.emptyRefusedMillis else limits.refusedMillis
        return rest.copy(believedSlots = rest.connections.size, loweredUntilMillis = nowMillis + pauseMillis)
    }

    public fun inState(slot: Int, state: ConnectionState): SlotPool {
        val connection = connections[slot] ?: return this
        return copy(connections = connections.put(slot, connection.copy(state = state)))
    }

    public fun without(slot: Int): SlotPool = copy(connections = connections.remove(slot))

    /** Slots whose connection has been idle for too long. */
    public fun expiredSlots(nowMillis: Long, limits: PoolLimits): List<Int> = connections.entries
        .filter { (_, connection) ->
            (connection.state as? ConnectionState.Idle)?.let { nowMillis - it.sinceMillis >= limits.idleMillis }
                ?: false
        }
        .map { it.key }

    /** Idle slots whose connection has not been heard of for a heartbeat. */
    public fun silentSlots(nowMillis: Long, limits: PoolLimits): List<Int> = connections.entries
        .filter { (_, connection) ->
            (connection.state as? ConnectionState.Idle)?.let { nowMillis - it.heardMillis >= limits.heartbeatMillis }
                ?: false
        }
        .map { it.key }

    /** The connection of [slot] answered its heartbeat. */
    public fun heardOf(slot: Int, nowMillis: Long): SlotPool {
        val pinged = connections[slot]?.state as? ConnectionState.Pinged ?: return this
        return inState(slot, ConnectionState.Idle(pinged.sinceMillis, heardMillis = nowMillis))
    }

    private fun capacityAt(nowMillis: Long) = if (nowMillis < loweredUntilMillis) minOf(believedSlots, slots) else slots
}
