package org.buckthornhub.control

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.buckthornhub.task.Task

/**
 * Limits the documents that are handled at the same time by their size. A parsed document takes many times its size, so several large
 * ones at once would use up the memory of the process.
 *
 * @param budgetChars size of the documents that are handled together; a single one may be larger
 */
internal class DocumentBudgetTask(private val budgetChars: Int = DEFAULT_BUDGET_CHARS) : Task<DocumentBudgetMessage>("document-budget") {
    private var admittedChars = 0L

    /** Runs [action] for a document of [chars] while it is counted; returns null, without running it, if there is no room. */
    suspend fun <T : Any> within(chars: Int, action: suspend () -> T): T? {
        if (!admit(chars)) return null
        return try {
            action()
        } finally {
            offer(DocumentBudgetMessage.Release(chars))
        }
    }

    private suspend fun admit(chars: Int): Boolean {
        val answer = CompletableDeferred<Boolean>()
        if (!offer(DocumentBudgetMessage.Admit(chars, answer))) return false
        try {
            return answer.await()
        } catch (e: CancellationException) {
            // The task counts only what it answers first; what it has counted by then is released here.
            val isCounted = !answer.complete(false) && withContext(NonCancellable) { answer.await() }
            if (isCounted) offer(DocumentBudgetMessage.Release(chars))
            throw e
        }
    }

    override suspend fun handle(message: DocumentBudgetMessage): Unit = when (message) {
        is DocumentBudgetMessage.Admit -> {
            val isAdmitted = admittedChars == 0L || admittedChars + message.chars <= budgetChars
            // A caller that was cancelled while it waited has completed the answer itself, and releases nothing.
            if (message.answer.complete(isAdmitted) && isAdmitted) admittedChars += message.chars else Unit
        }
        is DocumentBudgetMessage.Release -> admittedChars -= message.chars
    }

    private companion object {
        /** One document of the largest size that operators send, or many of the usual size. */
        const val DEFAULT_BUDGET_CHARS = 400_000
    }
}
