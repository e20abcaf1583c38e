package org.buckthornhub.connection

/** What a target connection needs before the statement of a session may run on it. */
public sealed interface SetupStatement {
    /** Drops all values and prepared names. */
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
