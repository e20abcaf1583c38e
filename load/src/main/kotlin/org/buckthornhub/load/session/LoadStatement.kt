package org.buckthornhub.load.session

import org.buckthornhub.load.history.StatementType

/**
 * One request of a session; a resend carries the same [requestId].
 *
 * @property transaction the transaction that it belongs to
 * @property daemon the daemon that began the transaction; null for any
 */
public data class LoadStatement(
    val requestId: String,
    val group: String,
    val type: StatementType,
    val key: String,
    val value: String? = null,
    val acceptedAgeMillis: Long? = null,
    val transaction: String? = null,
    val daemon: String? = null,
) {
    /** The statement as the database takes it. */
    public val text: String
        get() =
            when (type) {
                StatementType.READ -> "get $key"
                StatementType.APPEND, StatementType.IN_TRANSACTION -> "append $key $value"
                StatementType.INSERT -> "insert $key $value"
                StatementType.BEGIN, StatementType.COMMIT, StatementType.ROLL_BACK -> ""
            }
}
