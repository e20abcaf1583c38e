package org.buckthornhub.connection

import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.statement.RequestId

/** Statement for a target. Statements without an id originate in the daemon. */
public sealed interface TargetStatement {
    /** @property floor position that the target must have applied; null for no requirement */
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

    /** Makes a primary of a term before [term] a replica. */
    public data class StepDown(val term: Term) : TargetStatement

    /** Makes a replica stop receiving commits, if [term] is above the newest term that it knows. */
    public data class Pause(val term: Term) : TargetStatement

    /** Makes a replica receive commits again. */
    public data object Resume : TargetStatement

    /** Requests the status of the target. */
    public data object Status : TargetStatement
}
