package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** One read or write in the form in which it is sent to a target. */
public sealed interface DataStatement {
    public val access: Access

    public data class Plain(
        override val access: Access,
        val text: String,
    ) : DataStatement

    /** A prepared statement with its arguments. */
    public data class Prepared(
        val statement: PreparedStatement,
        val arguments: String,
    ) : DataStatement {
        override val access: Access get() = statement.access
    }
}
