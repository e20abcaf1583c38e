package org.buckthornhub.target

import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.RequestId
import org.buckthornhub.statement.TransactionId

/**
 * One operation for one target. It carries no key.
 *
 * @property organisation owner of the request, for fair queues; null on groups open to all
 * @property position what a read has to see
 * @property deadlineMillis monotonic time of this process
 * @property waitMillis how long a read may wait for the target to apply [position]
 * @property newTransaction id that the owner gives to a begin; null elsewhere
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
