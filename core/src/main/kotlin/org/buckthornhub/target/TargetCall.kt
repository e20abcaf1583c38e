package org.buckthornhub.target

import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.TransactionId

/**
 * An operation to run on one target. It does not carry the API key of the caller.
 *
 * @property organisation organisation that sent the request, used for fair queueing; null for groups that need no key
 * @property position minimum position that a read must see
 * @property deadlineMillis deadline in the monotonic time of this process
 * @property waitMillis maximum time in ms that a read waits for the target to apply [position]
 * @property newTransaction id that the owner of the target assigned to the transaction that this call begins; null for other operations
 */
public data class TargetCall(
    val target: TargetId,
    val operation: Operation,
    val requestId: RequestId,
    val organisation: OrganisationId?,
    val position: Position,
    val deadlineMillis: Long,
    val traceParent: String? = null,
    val newTransaction: TransactionId? = null,
    val waitMillis: Long = 0,
)
