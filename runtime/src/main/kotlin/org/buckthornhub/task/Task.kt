package org.buckthornhub.task

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch

/**
 * A coroutine that owns its state and its sockets, and takes one message at a time.
 *
 * @param name for logs
 * @param capacity messages that may wait; more are refused, so that load can't fill the memory
 */
public abstract class Task<M>(
    public val name: String,
    capacity: Int = DEFAULT_CAPACITY,
) : Mailbox<M> {
    private val messages = Channel<M>(capacity)

    override fun offer(message: M): Boolean = messages.trySend(message).isSuccess

    /** Starts the task in [scope]; it ends with the scope, or after [end] once the waiting messages are done. */
    public fun start(scope: CoroutineScope): Job = scope.launch {
        try {
            onStart(this)
            for (message in messages) handle(message)
        } finally {
            messages.close()
            onEnd()
        }
    }

    /** Reports from a child coroutine: waits while the mailbox is full; a task that has ended needs no report. */
    protected suspend fun report(message: M) {
        try {
            messages.send(message)
        } catch (e: ClosedSendChannelException) {
            return
        }
    }

    /** Takes no more messages. */
    public fun end() {
        messages.close()
    }

    /** Runs before the first message; [scope] lives as long as the task. */
    protected open suspend fun onStart(scope: CoroutineScope) {}

    protected abstract suspend fun handle(message: M)

    /** Closes what the task owns. */
    protected open fun onEnd() {}

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}
