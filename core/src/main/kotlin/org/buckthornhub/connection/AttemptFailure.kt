package org.buckthornhub.connection

import org.buckthornhub.error.ProxyError
import org.buckthornhub.error.promisesNoEffect
import org.buckthornhub.target.TargetId

/** Failure of one attempt to run a statement. */
public sealed interface AttemptFailure {
    /** Null if no connection was acquired. */
    public val target: TargetId?
    public val error: ProxyError

    /** Duration of the attempt, including the wait for a connection. */
    public val tookMillis: Long

    /** Returns the same failure with the duration of the attempt. */
    public fun took(millis: Long): AttemptFailure

    /** The statement surely had no effect: it was not sent, or the target refused it. */
    public data class NotRun(
        override val target: TargetId?,
        override val error: ProxyError,
        override val tookMillis: Long = 0,
    ) : AttemptFailure {
        override fun took(millis: Long): NotRun = copy(tookMillis = millis)

        override fun toString(): String = textOf(this, "not-run")
    }

    /** The statement may have had an effect, so its error is of a kind that promises nothing. */
    public data class MayHaveRun(
        override val target: TargetId,
        override val error: ProxyError,
        override val tookMillis: Long = 0,
    ) : AttemptFailure {
        init {
            require(!error.kind.promisesNoEffect) { "${error.kind} promises that the statement had no effect" }
        }

        override fun took(millis: Long): MayHaveRun = copy(tookMillis = millis)

        override fun toString(): String = textOf(this, "may-have-run")
    }

    private companion object {
        /** Form in log lines, such as `i-7f3a NO_PRIMARY not-run 4ms`. */
        fun textOf(failure: AttemptFailure, certainty: String): String =
            "${failure.target?.value ?: "no-target"} ${failure.error.kind} $certainty ${failure.tookMillis}ms"
    }
}
