package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/**
 * The whole answer of a target to one operation.
 *
 * @property value result as the target gave it; null if it has none
 * @property position where the session stands after it: of the write, or of the data that was read
 * @property fromReplica true if a replica served it
 * @property transaction set by a begin
 */
@Serializable
public data class Answer(
    val value: String?,
    val position: Position,
    val target: TargetId,
    val fromReplica: Boolean,
    val transaction: TransactionId? = null,
)
