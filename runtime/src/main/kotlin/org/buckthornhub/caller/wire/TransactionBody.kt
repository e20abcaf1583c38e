package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.statement.RequestId

/** Request body of a begin, commit or rollback. */
@Serializable
public data class TransactionBody(
    val group: GroupId,
    val requestId: RequestId,
    val deadlineMillis: Long? = null,
    val session: String? = null,
)
