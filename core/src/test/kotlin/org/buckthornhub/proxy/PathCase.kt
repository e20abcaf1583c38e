package org.buckthornhub.proxy

import org.buckthornhub.error.ErrorKind
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.ApiKey
import org.buckthornhub.session.Session
import org.buckthornhub.statement.Access

/**
 * One request through the decisions alone.
 *
 * @property target where it has to be served; null if it has to be refused with [error]
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
