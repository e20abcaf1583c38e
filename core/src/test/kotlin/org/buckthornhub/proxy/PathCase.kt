package org.buckthornhub.proxy

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.session.Session
import org.buckthornhub.statement.Access

/**
 * A request through all interceptors, without a transport.
 *
 * @property target expected to serve the request; null if it has to fail with [error]
 */
internal data class PathCase(
    val name: String,
    val key: ApiKey? = ApiKey("good"),
    val group: GroupId = GroupId("ledger"),
    val access: Access = Access.READ,
    val session: Session? = null,
    val rawSession: String? = null,
    val target: String? = null,
    val error: ErrorKind? = null,
)
