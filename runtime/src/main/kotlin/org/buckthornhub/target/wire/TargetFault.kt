package org.buckthornhub.target.wire

import kotlinx.serialization.Serializable

/** Why a target refused; none of these ran anything. */
@Serializable
public data class TargetFault(
    val code: Code,
    val detail: String,
) {
    /** The closed list of refusals. */
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
