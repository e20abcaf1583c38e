package org.buckthornhub.error

import kotlinx.serialization.Serializable

/** All errors that callers and operators can get; [ErrorTable] defines the answer to each. */
@Serializable
public enum class ErrorKind {
    MALFORMED_REQUEST,
    BODY_TOO_LARGE,
    KEY_MISSING,
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
    DATABASE_UNKNOWN,
    GROUP_UNKNOWN,
    GROUP_NOT_GRANTED,
    WRITE_NOT_GRANTED,
    SESSION_INVALID,
    SESSION_FOREIGN,
    DEADLINE_EXPIRED,
    RATE_EXCEEDED,
    QUEUE_FULL,
    NO_TARGET,
    NO_PRIMARY,
    REPLICA_BEHIND,
    WRITE_LOST,
    OUTCOME_UNKNOWN,
    ANSWER_LOST,
    ALREADY_RAN,
    STATEMENT_REJECTED,
    STATEMENT_FAILED,
    STATEMENT_TIMED_OUT,
    PREPARED_UNKNOWN,
    TRANSACTION_UNKNOWN,
    TRANSACTION_ABORTED,
    LEAVING,
    CONFIGURATION_STALE,
    LIST_INVALID,
    LIST_CONFLICT,
    NO_QUORUM,
    OPERATOR_REFUSED,
    INTERNAL,
}
