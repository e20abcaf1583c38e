package org.buckthornhub.load.history

import kotlinx.coroutines.CompletableDeferred

/** What the task that collects the history is told. */
internal sealed interface HistoryMessage {
    /** An attempt ended. */
    data class Ended(val attempt: Attempt) : HistoryMessage

    /** A fault was caused. */
    data class Marked(val fault: FaultMark) : HistoryMessage

    /** Gives all so far. */
    data class Take(val reply: CompletableDeferred<History>) : HistoryMessage
}
