package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** What a prepared name stands for. Two sessions may prepare the same one. */
public data class PreparedStatement(
    val access: Access,
    val shape: String,
)
