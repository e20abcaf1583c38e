package org.buckthornhub.control

import kotlinx.coroutines.CompletableDeferred

/** Messages to [DocumentBudgetTask]. */
internal sealed interface DocumentBudgetMessage {
    /** Asks whether a document of [chars] may be handled now; each admitted one is followed by [Release]. */
    data class Admit(
        val chars: Int,
        val answer: CompletableDeferred<Boolean>,
    ) : DocumentBudgetMessage

    /** A document of [chars] is no longer handled. */
    data class Release(val chars: Int) : DocumentBudgetMessage
}
