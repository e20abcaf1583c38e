package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.statement.TransactionId
import org.buckthornhub.target.TargetId

/**
 * The answer to a request that was served.
 *
 * @property session the token to send with the next request of the session
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
