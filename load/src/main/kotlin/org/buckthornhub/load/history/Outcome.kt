package org.buckthornhub.load.history

/** How an attempt ended, as its client saw it. */
public sealed interface Outcome {
    /** A whole answer. */
    public data class Served(
        val value: String?,
        val fromReplica: Boolean,
    ) : Outcome

    /**
     * An answer that names an error.
     *
     * @property retryAfterMillis when the answer asks for a repeat; null if it does not say
     */
    public data class Refused(
        val kind: String,
        val mayResend: Boolean,
        val retryAfterMillis: Long? = null,
    ) : Outcome

    /** No whole answer; [sent] is false only if the request surely did not leave. */
    public data class Unanswered(val sent: Boolean) : Outcome

    public companion object {
        /** Kinds of error that the checker tells apart. */
        public const val RATE_EXCEEDED: String = "RATE_EXCEEDED"
        public const val WRITE_LOST: String = "WRITE_LOST"
        public const val STATEMENT_REJECTED: String = "STATEMENT_REJECTED"
        public const val NO_ANSWER: String = "NO_ANSWER"
        public const val UNREACHABLE: String = "UNREACHABLE"
    }
}

/** The kind of error that reports count this under, or null if it was served. */
public fun Outcome.errorKind(): String? = when (this) {
    is Outcome.Served -> null
    is Outcome.Refused -> kind
    is Outcome.Unanswered -> if (sent) Outcome.NO_ANSWER else Outcome.UNREACHABLE
}
