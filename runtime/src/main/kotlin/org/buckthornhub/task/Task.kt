package org.buckthornhub.task

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope

/**
 * A coroutine that owns its state and its sockets, and processes one message at a time.
 *
 * An unexpected error ends neither the task nor others: the message, or the work of a child coroutine, is dropped with a log line.
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

    /**
     * Starts the task in [scope]. It ends with the scope, or after [end] once the queued messages are processed; its child
     * coroutines are cancelled then.
     */
    public fun start(scope: CoroutineScope): Job = scope.launch(logErrors) {
        try {
            supervisorScope {
                onStart(this)
                for (message in messages) handleSafely(message)
                coroutineContext.cancelChildren()
            }
        } finally {
            messages.close()
            onEnd()
        }
    }

    // The state is replaced only at the end of a message, so an unexpected error in one leaves the state as it was before.
    @Suppress("TooGenericExceptionCaught") // Last resort: one message must not end the task, and with it the process.
    private suspend fun handleSafely(message: M) {
        try {
            handle(message)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            if (isFailFast) throw e
            logger.error(e) { "task $name failed to handle a message of type ${message?.let { it::class.simpleName }}" }
        }
    }

    /** Whether an unexpected error ends the process: for tasks whose state on disk could differ from the state in memory. */
    protected open val isFailFast: Boolean get() = false

    private val logErrors get() = CoroutineExceptionHandler { _, e ->
        if (isFailFast) throw e
        logger.error(e) { "work of task $name failed" }
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
        val logger = KotlinLogging.logger {}
    }
}
