package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.error.ProxyError

/**
 * Failure of a statement.
 *
 * @property error what the caller is told; it promises that the statement had no effect only if no attempt may have run
 * @property attempts the attempts in order; empty if the statement was refused before any
 */
public class StatementFailure private constructor(
    public val error: ProxyError,
    public val attempts: PersistentList<AttemptFailure>,
) {
    public companion object {
        /** Failure before any attempt. */
        public fun refused(error: ProxyError): StatementFailure = StatementFailure(error, persistentListOf())

        /** Failure of the last of [attempts], of which there is at least one. */
        public fun of(attempts: PersistentList<AttemptFailure>): StatementFailure {
            // If none may have run, the answer of a target says more than the error that no further target was found.
            val decisive = attempts.firstOrNull { it is AttemptFailure.MayHaveRun }
                ?: attempts.lastOrNull { it.target != null }
                ?: attempts.last()
            val told = attempts.filterIndexed { i, attempt -> attempt === decisive || i >= attempts.size - MAX_DETAILS }
            val detail = told.map { it.error.detail }.distinct().joinToString("; then ")
            return StatementFailure(decisive.error.copy(detail = detail), attempts)
        }

        /** Attempts, from the last one, whose details the caller is told. */
        private const val MAX_DETAILS = 4
    }
}
