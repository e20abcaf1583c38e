package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.toPersistentMap
import org.buckthornhub.target.wire.TargetFault

/** Opens connections within the slots of an instance and closes idle ones. */
internal class ConnectionRules {
    fun connect(state: InstanceState, message: InstanceMessage.Connect, nowMillis: Long): InstanceDecision {
        val slots = state.settings.slots
        if (state.connections.size >= slots) {
            return state.refusing(message.reply, TargetFault.Code.NO_FREE_SLOT, "all $slots slots are in use")
        }
        val connection = Connection(state.nextConnection, usedMillis = nowMillis)
        return state.copy(nextConnection = connection.number + 1).with(connection).answering(message.reply, Ok(connection.id))
    }

    fun touch(state: InstanceState, message: InstanceMessage.Touch, nowMillis: Long): InstanceDecision {
        val connection = state.connections[message.connection]
        if (connection == null) return state.refusing(message.reply, TargetFault.Code.NO_SUCH_CONNECTION, message.connection)
        return state.with(connection.copy(usedMillis = nowMillis)).answering(message.reply, Ok(Unit))
    }

    /** Closes connections that exceeded their idle timeout, since their owner may have failed. */
    fun closeIdle(state: InstanceState, nowMillis: Long): InstanceState {
        val idle = state.connections.values.filter { nowMillis - it.usedMillis > idleTimeoutOf(it, state.settings) }
        if (idle.isEmpty()) return state
        return state.copy(connections = idle.fold(state.connections) { open, connection -> open.remove(connection.id) })
    }

    private fun idleTimeoutOf(connection: Connection, settings: InstanceSettings): Long =
        if (connection.isInTransaction) settings.idleTransactionMillis else settings.idleMillis
}

/** Returns this state with every open transaction rolled back and its connection closed. */
internal fun InstanceState.withoutTransactions(): InstanceState =
    copy(connections = connections.filterValues { !it.isInTransaction }.toPersistentMap())
