package org.buckthornhub.error

/** Maps each kind of error to its answer. The `when` has no `else`, so that the compiler rejects a kind without a row. */
@Suppress("MagicNumber") // Each row has its HTTP status code.
public object ErrorTable {
    public fun answerTo(kind: ErrorKind): ErrorAnswer = when (kind) {
        ErrorKind.MALFORMED_REQUEST -> notRetryable(400, Execution.NOT_RUN, "Correct the request; the detail names the fault.")
        ErrorKind.BODY_TOO_LARGE -> notRetryable(413, Execution.NOT_RUN, "Send a smaller body.")
        ErrorKind.KEY_MISSING -> notRetryable(401, Execution.NOT_RUN, "Send the key as \"Authorization: Bearer KEY\".")
        ErrorKind.KEY_UNKNOWN -> notRetryable(401, Execution.NOT_RUN, "Use a key that was given to your organisation.")
        ErrorKind.KEY_WITHDRAWN -> notRetryable(401, Execution.NOT_RUN, "Ask the operator for a new key.")
        ErrorKind.DATABASE_UNKNOWN -> notRetryable(404, Execution.NOT_RUN, "Name a database that has a route.")
        ErrorKind.GROUP_UNKNOWN -> notRetryable(404, Execution.NOT_RUN, "Name a group that exists.")
        ErrorKind.GROUP_NOT_GRANTED -> notRetryable(403, Execution.NOT_RUN, "The plan of your organisation does not grant this group.")
        ErrorKind.WRITE_NOT_GRANTED -> notRetryable(403, Execution.NOT_RUN, "The plan of your organisation grants reads only.")
        ErrorKind.SESSION_INVALID -> notRetryable(400, Execution.NOT_RUN, "Send the session token unchanged, or start a new session.")
        ErrorKind.SESSION_FOREIGN -> notRetryable(403, Execution.NOT_RUN, "Use a session of your own organisation.")
        ErrorKind.DEADLINE_EXPIRED -> retryable(504, Execution.NOT_RUN, "Repeat with a later deadline.")
        ErrorKind.RATE_EXCEEDED -> retryable(429, Execution.NOT_RUN, "Repeat after the time in Retry-After.")
        ErrorKind.QUEUE_FULL -> retryable(503, Execution.NOT_RUN, "Repeat after the time in Retry-After.")
        ErrorKind.NO_TARGET -> retryable(503, Execution.NOT_RUN, "Repeat later; no target of the group can be reached.")
        ErrorKind.NO_PRIMARY -> retryable(503, Execution.NOT_RUN, "Repeat later; a primary is being promoted.")
        ErrorKind.REPLICA_BEHIND -> retryable(503, Execution.NOT_RUN, "Repeat later; no instance in reach is known to be recent enough.")
        ErrorKind.WRITE_LOST -> notRetryable(
            409,
            Execution.NO_EFFECT,
            "A write of this session was lost: check it, then start a new session.",
        )
        ErrorKind.OUTCOME_UNKNOWN -> notRetryable(504, Execution.UNKNOWN, "The statement may have run: look before you send it again.")
        ErrorKind.ANSWER_LOST -> retryable(502, Execution.UNKNOWN, "The read got no whole answer; it may be repeated.")
        ErrorKind.ALREADY_RAN -> notRetryable(409, Execution.UNKNOWN, "This request id was used before: look at the data before you go on.")
        ErrorKind.STATEMENT_REJECTED -> notRetryable(422, Execution.NO_EFFECT, "The target rejected the statement; the detail is its own.")
        ErrorKind.STATEMENT_FAILED -> retryable(502, Execution.UNKNOWN, "The target ran the statement and failed; a read may be repeated.")
        ErrorKind.STATEMENT_TIMED_OUT -> retryable(504, Execution.UNKNOWN, "The statement took too long; a read may be repeated.")
        ErrorKind.PREPARED_UNKNOWN -> notRetryable(404, Execution.NOT_RUN, "Prepare the statement in this session first.")
        ErrorKind.TRANSACTION_UNKNOWN -> notRetryable(404, Execution.NO_EFFECT, "The transaction ended or never began; begin a new one.")
        ErrorKind.TRANSACTION_ABORTED -> retryable(409, Execution.NO_EFFECT, "The transaction was rolled back; begin it again.")
        ErrorKind.LEAVING -> retryable(503, Execution.NOT_RUN, "This daemon is stopping; connect again to reach another.")
        ErrorKind.CONFIGURATION_STALE -> retryable(
            503,
            Execution.NOT_RUN,
            "This daemon has not heard from the control quorum for too long.",
        )
        ErrorKind.LIST_INVALID -> notRetryable(422, Execution.NO_EFFECT, "Correct every fault that the detail names; nothing was changed.")
        ErrorKind.LIST_CONFLICT -> notRetryable(409, Execution.NO_EFFECT, "Another change took this number; read the list again.")
        ErrorKind.NO_QUORUM -> retryable(503, Execution.UNKNOWN, "Send the same change id again; it is applied once.")
        ErrorKind.OPERATOR_REFUSED -> notRetryable(403, Execution.NOT_RUN, "Send the operator secret of the fleet.")
        ErrorKind.INTERNAL -> notRetryable(500, Execution.UNKNOWN, "A fault of the proxy; report the trace id.")
    }

    private fun retryable(status: Int, execution: Execution, advice: String) = ErrorAnswer(status, execution, isRetryable = true, advice)

    private fun notRetryable(status: Int, execution: Execution, advice: String) =
        ErrorAnswer(status, execution, isRetryable = false, advice)
}
