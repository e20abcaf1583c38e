package org.buckthornhub.connection

import org.buckthornhub.group.Position
import org.buckthornhub.statement.RequestId

/** What a target is asked to run. Statements without an id are the daemon's own. */
public sealed interface TargetStatement {
    /** @property floor position that the target has to hold; null asks for none */
    public data class Begin(
        val readOnly: Boolean,
        val floor: Position?,
    ) : TargetStatement

    public data class Run(
        val id: RequestId,
        val text: String,
        val floor: Position?,
    ) : TargetStatement

    /** @property name of the prepared statement on this connection */
    public data class Execute(
        val id: RequestId,
        val name: String,
        val arguments: String,
        val floor: Position?,
    ) : TargetStatement

    public data class Commit(val id: RequestId) : TargetStatement

    public data object RollBack : TargetStatement

    public data class Setup(val step: SetupStatement) : TargetStatement

    /** Asks the target about itself. */
    public data object Status : TargetStatement
}
