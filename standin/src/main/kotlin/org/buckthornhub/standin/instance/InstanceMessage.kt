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

/** What an instance is told. */
public sealed interface InstanceMessage {
    /** Opens a connection. */
    public data class Connect(val reply: CompletableDeferred<Result<String, TargetFault>>) : InstanceMessage

    /** Closes a connection and rolls its transaction back. */
    public data class Disconnect(val connection: String) : InstanceMessage

    /** Keeps a connection from being idle. */
    public data class Touch(
        val connection: String,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Runs one statement. */
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

    /** A replica that misses entries asks the primary for its log. */
    public data class RequestLog(
        val sender: TargetId,
        val zone: ZoneId,
    ) : InstanceMessage

    /** The whole log of the primary of [term]. */
    public data class CatchUp(
        val zone: ZoneId,
        val term: Term,
        val log: PersistentList<LogEntry>,
    ) : InstanceMessage

    /** Leads the group from now on. */
    public data class Promote(
        val term: Term,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Replicates from [primary] from now on. */
    public data class Follow(
        val term: Term,
        val primary: TargetId,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Changes the faults of the instance. */
    public data class Inject(
        val fault: Fault,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage

    /** Time to apply what is due and to close idle connections. */
    public data object Tick : InstanceMessage

    /** Time for a primary to tell replicas where its log ends. */
    public data object Heartbeat : InstanceMessage
}
