package org.buckthornhub.connection

import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.routetable.DatabaseName
import org.buckthornhub.statement.RequestId

/** Request of a caller on its connection. */
public sealed interface ClientRequest {
    public data class Start(
        val database: DatabaseName,
        val key: ApiKey,
    ) : ClientRequest

    public data class Query(
        val id: RequestId,
        val statement: ClientStatement,
    ) : ClientRequest

    public data object Terminate : ClientRequest

    /** Bytes that could not be decoded as a request; the connection cannot be used further. */
    public data class Unreadable(val detail: String) : ClientRequest
}
