package org.buckthornhub.load.history

/**
 * One request of a client, from sending to its end. A resend is an attempt of its own with the same [requestId].
 *
 * @property epoch counts how often the session was told that a write was lost
 * @property key key of the data that it concerns; its owner is the part up to the last slash
 * @property value unique value that it writes; null for a read
 * @property sentMillis client's monotonic time when it was sent
 * @property endedMillis client's monotonic time when [outcome] was known
 */
public data class Attempt(
    val organisation: String,
    val session: String,
    val epoch: Int,
    val requestId: String,
    val group: String,
    val type: StatementType,
    val key: String,
    val value: String?,
    val daemon: String,
    val sentMillis: Long,
    val endedMillis: Long,
    val outcome: Outcome,
)
