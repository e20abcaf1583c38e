package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/**
 * Complete answer of a target to one operation.
 *
 * @property value result as returned by the target; null if there is none
 * @property position of the write, or of the data that was read
 * @property fromReplica true if a replica served the operation
 * @property transaction id of the transaction that was begun; null for other operations
 */
@Serializable
public data class Answer(
    val value: String?,
    val position: Position,
    val target: TargetId,
    val fromReplica: Boolean,
    val transaction: TransactionId? = null,
)
