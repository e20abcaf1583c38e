package org.buckthornhub.load.session

import org.buckthornhub.load.history.StatementType

/** One statement of a session; a resend carries the same [requestId]. */
public data class LoadStatement(
    val requestId: String,
    val group: String,
    val type: StatementType,
    val key: String,
    val value: String? = null,
    val acceptedAgeMillis: Long? = null,
) {
    /** The statement as the database takes it. */
    public val text: String
        get() =
            when (type) {
                StatementType.READ -> "get $key"
                StatementType.APPEND -> "append $key $value"
                StatementType.INSERT -> "insert $key $value"
            }
}
