package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.instancepool.TargetLease

/** Outcome of sending a statement to one target. */
internal sealed interface RunOutcome {
    /** @property lease the connection that served it; already released or about to be */
    data class Done(
        val reply: TargetReply.Completed,
        val lease: TargetLease,
    ) : RunOutcome

    /** The target gave no answer, or refused the statement. */
    sealed interface Failed : RunOutcome {
        val failure: AttemptFailure
    }

    /** No connection could be acquired, so nothing was sent. */
    data class NoTarget(override val failure: AttemptFailure) : Failed {
        constructor(error: ProxyError) : this(AttemptFailure.NotRun(target = null, error))
    }

    /** Failed without a further attempt. */
    data class Final(override val failure: AttemptFailure) : Failed

    /** May be retried. @property isTargetAvoided whether the next attempt excludes the target */
    data class Retry(
        override val failure: AttemptFailure,
        val isTargetAvoided: Boolean,
    ) : Failed
}
