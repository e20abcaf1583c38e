package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** Text and access mode of a prepared statement. Sessions that prepare equal statements share one on a target connection. */
public data class PreparedStatement(
    val access: Access,
    val template: String,
)
