package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.standin.fault.Fault
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault

/** Message handled by an instance. */
public sealed interface InstanceMessage {
    /** Opens a connection. */
    public data class Connect(val reply: CompletableDeferred<Result<String, TargetFault>>) : InstanceMessage

    /** Closes a connection and rolls back its transaction. */
    public data class Disconnect(val connection: String) : InstanceMessage

    /** Resets the idle timeout of a connection. */
    public data class Touch(
        val connection: String,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Executes one statement. */
    public data class Execute(
        val connection: String,
        val request: ExecuteRequest,
        val reply: CompletableDeferred<Result<ExecuteResponse, TargetFault>>,
    ) : InstanceMessage

    /** Entries from the primary [sender] of [term]; the first follows position [after], which holds an entry of [afterTerm]. */
    public data class Replicate(
        val sender: TargetId,
        val zone: ZoneId,
        val term: Term,
        val after: LogPosition,
        val afterTerm: Term,
        val entries: PersistentList<LogEntry>,
    ) : InstanceMessage

    /** Request for the primary's complete log from a replica that lacks entries. */
    public data class RequestLog(
        val sender: TargetId,
        val zone: ZoneId,
    ) : InstanceMessage

    /** Complete log of the primary of [term]. */
    public data class CatchUp(
        val zone: ZoneId,
        val term: Term,
        val log: PersistentList<LogEntry>,
    ) : InstanceMessage

    /** Promotes the instance to primary of the group in [term]. */
    public data class Promote(
        val term: Term,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Makes the instance a replica of [primary] in [term]. */
    public data class Follow(
        val term: Term,
        val primary: TargetId,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Injects [fault] into the instance. */
    public data class Inject(
        val fault: Fault,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Periodic timer: applies entries that are due and closes idle connections. */
    public data object Tick : InstanceMessage

    /** Periodic timer: a primary sends the end position of its log to the replicas. */
    public data object Heartbeat : InstanceMessage
}
