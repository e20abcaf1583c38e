package org.buckthornhub.caller.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.statement.Access
import org.buckthornhub.statement.RequestId

/**
 * Body of `POST /v1/statements`, and of a statement in a transaction.
 *
 * @property deadlineMillis time limit of the request, in ms from its arrival
 */
@Serializable
public data class StatementBody(
    val group: GroupId,
    val access: Access,
    val text: String,
    val requestId: RequestId,
    val repeatable: Boolean = false,
    val acceptedAgeMillis: Long? = null,
    val deadlineMillis: Long? = null,
    val session: String? = null,
)
