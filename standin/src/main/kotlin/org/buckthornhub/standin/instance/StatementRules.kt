package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.buckthornhub.group.LogPosition
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault
import org.buckthornhub.target.wire.WireAction

/** Executes statements and transactions on an instance. */
internal class StatementRules {
    fun execute(state: InstanceState, message: InstanceMessage.Execute, nowMillis: Long): InstanceDecision {
        val found = state.connections[message.connection]
        if (found == null) return state.refusing(message.reply, TargetFault.Code.NO_SUCH_CONNECTION, message.connection)
        val connection = found.copy(usedMillis = nowMillis)
        val used = state.with(connection)
        return when (message.request.action) {
            WireAction.READ -> read(used, connection, message)
            WireAction.WRITE -> write(used, connection, message)
            WireAction.BEGIN -> begin(used, connection, message)
            WireAction.COMMIT -> commit(used, connection, message)
            WireAction.ROLL_BACK -> done(used.with(connection.copy(pending = null)), message, value = null)
        }
    }

    private fun read(state: InstanceState, connection: Connection, message: InstanceMessage.Execute): InstanceDecision {
        val command = Command.parse(message.request.text).getOrElse { return state.answering(message.reply, Err(it)) }
        val visible = connection.pending.orEmpty().fold(state.data) { values, pending -> values.after(pending) }
        return done(state, message, visible[command.key])
    }

    private fun write(state: InstanceState, connection: Connection, message: InstanceMessage.Execute): InstanceDecision {
        if (state.role != TargetRole.PRIMARY) return notPrimary(state, message)
        val command = Command.parse(message.request.text).getOrElse { return state.answering(message.reply, Err(it)) }
        val pending = connection.pending ?: return append(state, listOf(command), message)
        return done(state.with(connection.copy(pending = pending.add(command))), message, value = null)
    }

    private fun begin(state: InstanceState, connection: Connection, message: InstanceMessage.Execute): InstanceDecision {
        if (state.role != TargetRole.PRIMARY) return notPrimary(state, message)
        if (connection.isInTransaction) return state.refusing(message.reply, TargetFault.Code.TRANSACTION_STATE, "a transaction is open")
        return done(state.with(connection.withTransaction()), message, value = null)
    }

    private fun commit(state: InstanceState, connection: Connection, message: InstanceMessage.Execute): InstanceDecision {
        val pending = connection.pending
        if (pending == null) return state.refusing(message.reply, TargetFault.Code.TRANSACTION_STATE, "no transaction is open")
        val closed = state.with(connection.copy(pending = null))
        return if (pending.isEmpty()) done(closed, message, value = null) else append(closed, pending, message)
    }

    private fun append(state: InstanceState, commands: List<Command>, message: InstanceMessage.Execute): InstanceDecision {
        // Has the effect of a unique key on the request id, checked in the same transaction as the write.
        if (message.request.requestId in state.requests) {
            return state.refusing(message.reply, TargetFault.Code.ALREADY_APPLIED, "request ${message.request.requestId} is in the log")
        }
        val existingKey = state.data.firstExistingKey(commands)
        if (existingKey != null) return state.refusing(message.reply, TargetFault.Code.REJECTED, "key $existingKey exists")
        val position = LogPosition(state.received.value + 1)
        val entry = LogEntry(state.term, position, message.request.requestId, commands.toPersistentList())
        val next = state.copy(log = state.log.add(entry)).appliedUpTo(position)
        val sent = InstanceEffect.Send(to = null, state.entriesMessage(persistentListOf(entry)))
        val answered = done(next, message, value = next.data[commands.last().key])
        return answered.copy(effects = answered.effects.add(0, sent))
    }

    private fun done(state: InstanceState, message: InstanceMessage.Execute, value: String?): InstanceDecision {
        val response = ExecuteResponse(message.request.requestId, value, state.term.value, state.applied.value)
        val sent = state.lastResponse?.takeIf { state.faults.crossed } ?: response
        return state.copy(lastResponse = response).answering(message.reply, Ok(sent))
    }

    private fun notPrimary(state: InstanceState, message: InstanceMessage.Execute): InstanceDecision =
        state.refusing(message.reply, TargetFault.Code.NOT_PRIMARY, "this instance is a replica")
}
