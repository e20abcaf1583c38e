package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** One read or write as a target has to run it. */
public sealed interface TargetWork {
    public val access: Access

    public data class Plain(
        override val access: Access,
        val text: String,
    ) : TargetWork

    /** A prepared statement, with what follows its name. */
    public data class Prepared(
        val statement: PreparedStatement,
        val arguments: String,
    ) : TargetWork {
        override val access: Access get() = statement.access
    }
}
