package org.buckthornhub.target.owner

import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetCall

/**
 * A call without an answer yet.
 *
 * @property newTransaction id for the transaction that the call may begin
 * @property sentMillis time at which the call was sent to the target; null before that
 */
public data class PendingCall(
    val call: TargetCall,
    val newTransaction: TransactionId,
    val sentMillis: Long? = null,
)
