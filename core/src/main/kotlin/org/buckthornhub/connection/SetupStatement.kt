package org.buckthornhub.connection

/** A statement that prepares a target connection for a session. */
public sealed interface SetupStatement {
    /** Drops all values and prepared statements of the connection. */
    public data object Discard : SetupStatement

    public data class SetValue(
        val name: String,
        val value: String,
    ) : SetupStatement

    public data class Prepare(
        val name: String,
        val statement: PreparedStatement,
    ) : SetupStatement
}
