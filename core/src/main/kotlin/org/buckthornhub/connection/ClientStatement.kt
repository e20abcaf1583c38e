package org.buckthornhub.connection

import org.buckthornhub.statement.Access

/** The closed list of statements that a session may send. */
public sealed interface ClientStatement {
    /** @property readOnly true if the caller promises to write nothing */
    public data class Begin(val readOnly: Boolean) : ClientStatement

    public data object Commit : ClientStatement

    public data object RollBack : ClientStatement

    /** One read or write; [text] goes to the target unchanged. */
    public data class Run(
        val access: Access,
        val text: String,
    ) : ClientStatement

    /** Runs a prepared statement. @property arguments follow its name on the way to the target */
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

    /** Text that is none of the above. */
    public data class Unreadable(val detail: String) : ClientStatement
}
