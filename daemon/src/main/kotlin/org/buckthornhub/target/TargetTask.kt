package org.buckthornhub.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.buckthornhub.clock.Clock
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.task.Task

/** Owns the connections to one target: queues calls, runs each on one connection, pins transactions. */
internal class TargetTask(
    private val target: TargetEntry,
    private val driver: TargetDriver,
    private val clock: Clock,
) : Task<TargetMessage>("target-${target.target}") {
    private var state = TargetState()
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: TargetMessage) {
        when (message) {
            is TargetMessage.Run -> run(message)
            is TargetMessage.Released -> release(message.connection)
            is TargetMessage.Dropped -> drop(message.connection)
            is TargetMessage.Pinned -> state = state.copy(pinned = state.pinned.put(message.transaction, message.connection))
        }
    }

    override fun onEnd(): Unit = driver.close()

    private fun run(message: TargetMessage.Run) {
        val transaction = transactionOf(message.call.operation)
        if (transaction == null) {
            state = state.copy(waiting = state.waiting.add(message))
            return serveNext()
        }
        val connection = state.pinned[transaction]
        if (connection == null) {
            message.reply.complete(Err(ProxyError(ErrorKind.TRANSACTION_UNKNOWN, "no transaction $transaction is open")))
            return
        }
        launchOn(connection, message)
    }

    private fun release(connection: String) {
        state = state.copy(idle = state.idle.add(connection), pinned = state.pinned.without(connection))
        serveNext()
    }

    private fun drop(connection: String?) {
        state = state.copy(open = state.open - 1, pinned = state.pinned.without(connection))
        serveNext()
    }

    private fun serveNext() {
        val next = state.waiting.firstOrNull() ?: return
        val connection = state.idle.firstOrNull()
        if (connection == null && state.open >= target.slots) return
        state =
            state.copy(
                waiting = state.waiting.removeAt(0),
                idle = if (connection == null) state.idle else state.idle.removeAt(0),
                open = if (connection == null) state.open + 1 else state.open,
            )
        launchOn(connection, next)
    }

    private fun launchOn(existing: String?, message: TargetMessage.Run) {
        scope.launch {
            val remaining = message.call.deadlineMillis - clock.nowMillis()
            val opened = if (existing == null) driver.connect(remaining.coerceAtLeast(1)) else Ok(existing)
            val connection = opened.get()
            if (connection == null) {
                offer(TargetMessage.Dropped(null))
                message.reply.complete(Err(checkNotNull(opened.getError())))
            } else {
                finish(connection, message, driver.execute(connection, message.call, remaining.coerceAtLeast(1)))
            }
        }
    }

    private suspend fun finish(connection: String, message: TargetMessage.Run, result: Result<Answer, ProxyError>) {
        val kind = result.getError()?.kind
        val transaction = result.get()?.transaction
        when {
            kind == ErrorKind.OUTCOME_UNKNOWN || kind == ErrorKind.ANSWER_LOST -> dropNow(connection)
            transaction != null -> offer(TargetMessage.Pinned(transaction, connection))
            message.call.operation is Operation.RunInTransaction -> Unit
            else -> offer(TargetMessage.Released(connection))
        }
        message.reply.complete(result)
    }

    private suspend fun dropNow(connection: String) {
        driver.disconnect(connection)
        offer(TargetMessage.Dropped(connection))
    }

    private fun transactionOf(operation: Operation): TransactionId? = when (operation) {
        is Operation.Run, is Operation.Begin -> null
        is Operation.RunInTransaction -> operation.transaction
        is Operation.Commit -> operation.transaction
        is Operation.RollBack -> operation.transaction
    }
}
