package org.buckthornhub.task

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch

/**
 * A coroutine that owns its state and its sockets, and processes one message at a time.
 *
 * @param name for logs
 * @param capacity size of the mailbox; further messages are rejected, so that load cannot exhaust the memory
 */
public abstract class Task<M>(
    public val name: String,
    capacity: Int = DEFAULT_CAPACITY,
) : Mailbox<M> {
    private val messages = Channel<M>(capacity)

    override fun offer(message: M): Boolean = messages.trySend(message).isSuccess

    /** Starts the task in [scope]; it ends with the scope, or after [end] once the queued messages are processed. */
    public fun start(scope: CoroutineScope): Job = scope.launch {
        try {
            onStart(this)
            for (message in messages) handle(message)
        } finally {
            messages.close()
            onEnd()
        }
    }

    /** Enqueues [message] from a child coroutine, suspending while the mailbox is full; does nothing if the task has ended. */
    protected suspend fun report(message: M) {
        try {
            messages.send(message)
        } catch (e: ClosedSendChannelException) {
            return
        }
    }

    /** Closes the mailbox for new messages. */
    public fun end() {
        messages.close()
    }

    /** Runs before the first message; [scope] is active as long as the task. */
    protected open suspend fun onStart(scope: CoroutineScope) {}

    protected abstract suspend fun handle(message: M)

    /** Closes the resources that the task owns. */
    protected open fun onEnd() {}

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}
