package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** Error of a target that refused a request; with every code, the target has executed nothing. */
@Serializable
public data class TargetFault(
    val code: Code,
    val detail: String,
) {
    /** Reason for a refusal. */
    @Serializable
    public enum class Code {
        NO_FREE_SLOT,
        NO_SUCH_CONNECTION,
        NOT_PRIMARY,
        STALE_TERM,
        STATEMENT_INVALID,
        REJECTED,
        ALREADY_APPLIED,
        TRANSACTION_STATE,
    }
}
