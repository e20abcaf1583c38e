package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.decision.Decider
import org.buckthornhub.decision.Decision
import org.buckthornhub.group.LogPosition
import org.buckthornhub.target.TargetRole
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault
import org.buckthornhub.target.wire.WireAction

/** The behaviour of one instance of a database group. */
public class InstanceDecider : Decider<InstanceState, InstanceMessage, InstanceEffect> {
    override fun decide(state: InstanceState, message: InstanceMessage, nowMillis: Long): Decision<InstanceState, InstanceEffect> =
        when (message) {
            is InstanceMessage.Connect -> connect(state, message)
            is InstanceMessage.Disconnect -> Decision(state.copy(connections = state.connections.remove(message.connection)))
            is InstanceMessage.Execute -> execute(state, message)
            is InstanceMessage.Replicate -> Decision(replicated(state, message))
            is InstanceMessage.Promote -> promote(state, message)
        }

    private fun connect(state: InstanceState, message: InstanceMessage.Connect): Decision<InstanceState, InstanceEffect> {
        if (state.connections.size >= state.slots) {
            return Decision(state, answer(message.reply, fault(TargetFault.Code.NO_FREE_SLOT, "all ${state.slots} slots are taken")))
        }
        val connection = Connection("c${state.nextConnection}")
        val next = state.copy(connections = state.connections.put(connection.id, connection), nextConnection = state.nextConnection + 1)
        return Decision(next, answer(message.reply, Ok(connection.id)))
    }

    private fun execute(state: InstanceState, message: InstanceMessage.Execute): Decision<InstanceState, InstanceEffect> {
        val connection =
            state.connections[message.connection]
                ?: return Decision(state, answer(message.reply, fault(TargetFault.Code.NO_SUCH_CONNECTION, message.connection)))
        return when (message.request.action) {
            WireAction.READ -> read(state, connection, message)
            WireAction.WRITE -> write(state, connection, message)
            WireAction.BEGIN -> begin(state, connection, message)
            WireAction.COMMIT -> commit(state, connection, message)
            WireAction.ROLL_BACK -> done(state.with(connection.copy(pending = null)), message, value = null)
        }
    }

    private fun read(
        state: InstanceState,
        connection: Connection,
        message: InstanceMessage.Execute,
    ): Decision<InstanceState, InstanceEffect> {
        val command = Command.parse(message.request.text).getOrElse { return Decision(state, answer(message.reply, Err(it))) }
        val visible = connection.pending.orEmpty().fold(state.data) { values, pending -> values.after(pending) }
        return done(state, message, visible[command.key])
    }

    private fun write(
        state: InstanceState,
        connection: Connection,
        message: InstanceMessage.Execute,
    ): Decision<InstanceState, InstanceEffect> {
        if (state.role != TargetRole.PRIMARY) return notPrimary(state, message)
        val command = Command.parse(message.request.text).getOrElse { return Decision(state, answer(message.reply, Err(it))) }
        val pending = connection.pending ?: return append(state, listOf(command), message)
        return done(state.with(connection.copy(pending = pending.add(command))), message, value = null)
    }

    private fun begin(
        state: InstanceState,
        connection: Connection,
        message: InstanceMessage.Execute,
    ): Decision<InstanceState, InstanceEffect> {
        if (state.role != TargetRole.PRIMARY) return notPrimary(state, message)
        if (connection.isInTransaction) {
            return Decision(state, answer(message.reply, fault(TargetFault.Code.TRANSACTION_STATE, "a transaction is open")))
        }
        return done(state.with(connection.begun()), message, value = null)
    }

    private fun commit(
        state: InstanceState,
        connection: Connection,
        message: InstanceMessage.Execute,
    ): Decision<InstanceState, InstanceEffect> {
        val pending =
            connection.pending
                ?: return Decision(state, answer(message.reply, fault(TargetFault.Code.TRANSACTION_STATE, "no transaction is open")))
        val closed = state.with(connection.copy(pending = null))
        return if (pending.isEmpty()) done(closed, message, value = null) else append(closed, pending, message)
    }

    private fun append(
        state: InstanceState,
        commands: List<Command>,
        message: InstanceMessage.Execute,
    ): Decision<InstanceState, InstanceEffect> {
        val entry =
            LogEntry(state.term, LogPosition(state.received.value + 1), message.request.requestId, commands.toPersistentList())
        val next = state.copy(log = state.log.add(entry)).appliedUpTo(entry.position)
        val sent = InstanceEffect.SendEntries(state.term, state.received, persistentListOf(entry))
        val answered = done(next, message, value = next.data[commands.last().key])
        return answered.copy(effects = answered.effects.add(0, sent))
    }

    private fun replicated(state: InstanceState, message: InstanceMessage.Replicate): InstanceState {
        val isNext = message.term >= state.term && state.role == TargetRole.REPLICA && message.after == state.received
        if (!isNext) return state
        val stored = state.copy(term = message.term, log = state.log.addAll(message.entries))
        return stored.appliedUpTo(stored.received)
    }

    private fun promote(state: InstanceState, message: InstanceMessage.Promote): Decision<InstanceState, InstanceEffect> {
        if (message.term <= state.term) {
            return Decision(state, answer(message.reply, fault(TargetFault.Code.STALE_TERM, "already in term ${state.term.value}")))
        }
        val next = state.appliedUpTo(state.received).copy(role = TargetRole.PRIMARY, term = message.term)
        return Decision(next, answer(message.reply, Ok(Unit)))
    }

    private fun done(state: InstanceState, message: InstanceMessage.Execute, value: String?): Decision<InstanceState, InstanceEffect> {
        val response = ExecuteResponse(message.request.requestId, value, state.term.value, state.applied.value)
        return Decision(state, answer(message.reply, Ok(response)))
    }

    private fun notPrimary(state: InstanceState, message: InstanceMessage.Execute): Decision<InstanceState, InstanceEffect> =
        Decision(state, answer(message.reply, fault(TargetFault.Code.NOT_PRIMARY, "this instance is a replica")))

    private fun InstanceState.with(connection: Connection) = copy(connections = connections.put(connection.id, connection))

    private fun fault(code: TargetFault.Code, detail: String) = Err(TargetFault(code, detail))

    private fun <T> answer(reply: CompletableDeferred<Result<T, TargetFault>>, value: Result<T, TargetFault>) =
        persistentListOf<InstanceEffect>(InstanceEffect.Answer(reply, value))
}
