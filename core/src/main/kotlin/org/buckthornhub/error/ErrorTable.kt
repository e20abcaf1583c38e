package org.buckthornhub.error

/** The table from kind to answer. Complete by construction: the `when` has no `else`. */
@Suppress("MagicNumber") // One row a kind, with its HTTP status code.
public object ErrorTable {
    public fun answerTo(kind: ErrorKind): ErrorAnswer = when (kind) {
        ErrorKind.MALFORMED_REQUEST -> never(400, Execution.NOT_RUN, "Correct the request; the detail names the fault.")
        ErrorKind.BODY_TOO_LARGE -> never(413, Execution.NOT_RUN, "Send a smaller body.")
        ErrorKind.KEY_MISSING -> never(401, Execution.NOT_RUN, "Send the key as \"Authorization: Bearer KEY\".")
        ErrorKind.KEY_UNKNOWN -> never(401, Execution.NOT_RUN, "Use a key that was given to your organisation.")
        ErrorKind.KEY_WITHDRAWN -> never(401, Execution.NOT_RUN, "Ask the operator for a new key.")
        ErrorKind.DATABASE_UNKNOWN -> never(404, Execution.NOT_RUN, "Name a database that has a route.")
        ErrorKind.GROUP_UNKNOWN -> never(404, Execution.NOT_RUN, "Name a group that exists.")
        ErrorKind.GROUP_NOT_GRANTED -> never(403, Execution.NOT_RUN, "The plan of your organisation does not grant this group.")
        ErrorKind.WRITE_NOT_GRANTED -> never(403, Execution.NOT_RUN, "The plan of your organisation grants reads only.")
        ErrorKind.SESSION_INVALID -> never(400, Execution.NOT_RUN, "Send the session token unchanged, or start a new session.")
        ErrorKind.SESSION_FOREIGN -> never(403, Execution.NOT_RUN, "Use a session of your own organisation.")
        ErrorKind.DEADLINE_EXPIRED -> later(504, Execution.NOT_RUN, "Repeat with a later deadline.")
        ErrorKind.RATE_EXCEEDED -> later(429, Execution.NOT_RUN, "Repeat after the time in Retry-After.")
        ErrorKind.QUEUE_FULL -> later(503, Execution.NOT_RUN, "Repeat after the time in Retry-After.")
        ErrorKind.NO_TARGET -> later(503, Execution.NOT_RUN, "Repeat later; no target of the group can be reached.")
        ErrorKind.NO_PRIMARY -> later(503, Execution.NOT_RUN, "Repeat later; a primary is being promoted.")
        ErrorKind.REPLICA_BEHIND -> later(503, Execution.NOT_RUN, "Repeat later; no instance in reach is known to be recent enough.")
        ErrorKind.WRITE_LOST -> never(409, Execution.NO_EFFECT, "A write of this session was lost: check it, then start a new session.")
        ErrorKind.OUTCOME_UNKNOWN -> never(504, Execution.UNKNOWN, "The statement may have run: look before you send it again.")
        ErrorKind.ANSWER_LOST -> later(502, Execution.UNKNOWN, "The read got no whole answer; it may be repeated.")
        ErrorKind.ALREADY_RAN -> never(409, Execution.UNKNOWN, "This request id was used before: look at the data before you go on.")
        ErrorKind.STATEMENT_REJECTED -> never(422, Execution.NO_EFFECT, "The target rejected the statement; the detail is its own.")
        ErrorKind.STATEMENT_FAILED -> later(502, Execution.UNKNOWN, "The target ran the statement and failed; a read may be repeated.")
        ErrorKind.STATEMENT_TIMED_OUT -> later(504, Execution.UNKNOWN, "The statement took too long; a read may be repeated.")
        ErrorKind.PREPARED_UNKNOWN -> never(404, Execution.NOT_RUN, "Prepare the statement in this session first.")
        ErrorKind.TRANSACTION_UNKNOWN -> never(404, Execution.NO_EFFECT, "The transaction ended or never began; begin a new one.")
        ErrorKind.TRANSACTION_ABORTED -> later(409, Execution.NO_EFFECT, "The transaction was rolled back; begin it again.")
        ErrorKind.LEAVING -> later(503, Execution.NOT_RUN, "This daemon is stopping; connect again to reach another.")
        ErrorKind.CONFIGURATION_STALE -> later(
            503,
            Execution.NOT_RUN,
            "This daemon has not heard from the control quorum for too long.",
        )
        ErrorKind.LIST_INVALID -> never(422, Execution.NO_EFFECT, "Correct every fault that the detail names; nothing was changed.")
        ErrorKind.LIST_CONFLICT -> never(409, Execution.NO_EFFECT, "Another change took this number; read the list again.")
        ErrorKind.NO_QUORUM -> later(503, Execution.UNKNOWN, "Send the same change id again; it is applied once.")
        ErrorKind.OPERATOR_REFUSED -> never(403, Execution.NOT_RUN, "Send the operator secret of the fleet.")
        ErrorKind.INTERNAL -> never(500, Execution.UNKNOWN, "A fault of the proxy; report the trace id.")
    }

    private fun later(status: Int, execution: Execution, advice: String) = ErrorAnswer(status, execution, repeatMayHelp = true, advice)

    private fun never(status: Int, execution: Execution, advice: String) = ErrorAnswer(status, execution, repeatMayHelp = false, advice)
}
