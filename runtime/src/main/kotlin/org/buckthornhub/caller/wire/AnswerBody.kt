package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetId

/**
 * Response to a request that was served.
 *
 * @property session session token for the next request of the session
 */
@Serializable
public data class AnswerBody(
    val value: String? = null,
    val session: String,
    val target: TargetId,
    val fromReplica: Boolean,
    val transaction: TransactionId? = null,
    val traceId: String? = null,
)
