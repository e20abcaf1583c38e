package org.buckthornhub.load.session

import org.buckthornhub.load.history.Outcome

/**
 * The end of one request.
 *
 * @property daemon address that it was sent to
 * @property transaction the transaction that was begun
 * @property token session token to carry on with; null if the answer brought none
 */
public data class LinkAnswer(
    val daemon: String,
    val sentMillis: Long,
    val endedMillis: Long,
    val outcome: Outcome,
    val token: String? = null,
    val transaction: String? = null,
)
