package org.buckthornhub.target.owner

import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetCall

/**
 * A call that has no answer yet.
 *
 * @property newTransaction the id that a begin is to get
 * @property sentMillis when it was sent to the target; null before
 */
public data class PendingCall(
    val call: TargetCall,
    val newTransaction: TransactionId,
    val sentMillis: Long? = null,
)
