package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.target.TargetId

/**
 * Failure of one attempt to run a statement.
 *
 * @property target null if no connection was acquired, so that nothing was sent
 * @property mayHaveRun whether the statement may have had an effect
 * @property tookMillis duration of the attempt, including the wait for a connection
 */
public data class AttemptFailure(
    val target: TargetId?,
    val error: ProxyError,
    val mayHaveRun: Boolean,
    val tookMillis: Long = 0,
) {
    /** Form in log lines, such as `i-7f3a NO_PRIMARY not-run 4ms`. */
    override fun toString(): String =
        "${target?.value ?: "no-target"} ${error.kind} ${if (mayHaveRun) "may-have-run" else "not-run"} ${tookMillis}ms"
}
