package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** A statement that a caller sends in its session. */
public sealed interface ClientStatement {
    /** @property readOnly true if the caller declares the transaction read-only */
    public data class Begin(val readOnly: Boolean) : ClientStatement

    public data object Commit : ClientStatement

    public data object RollBack : ClientStatement

    /** One read or write; [text] goes to the target unchanged. */
    public data class Run(
        val access: Access,
        val text: String,
    ) : ClientStatement

    /** Runs the prepared statement [name]; [arguments] go to the target unchanged. */
    public data class Execute(
        val name: String,
        val arguments: String,
    ) : ClientStatement

    public data class Prepare(
        val name: String,
        val statement: PreparedStatement,
    ) : ClientStatement

    public data class ClosePrepared(val name: String) : ClientStatement

    public data class SetValue(
        val name: String,
        val value: String,
    ) : ClientStatement

    /** Text that could not be parsed. */
    public data class Unreadable(val detail: String) : ClientStatement
}
