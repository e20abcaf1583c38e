package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.wire.ExecuteRequest
import org.buckthornhub.target.wire.ExecuteResponse
import org.buckthornhub.target.wire.TargetFault

/** What an instance is told. */
public sealed interface InstanceMessage {
    /** Opens a connection. */
    public data class Connect(val reply: CompletableDeferred<Result<String, TargetFault>>) : InstanceMessage

    /** Closes a connection and rolls its transaction back. */
    public data class Disconnect(val connection: String) : InstanceMessage

    /** Runs one statement. */
    public data class Execute(
        val connection: String,
        val request: ExecuteRequest,
        val reply: CompletableDeferred<Result<ExecuteResponse, TargetFault>>,
    ) : InstanceMessage

    /** Entries from the primary of [term], of which the first follows position [after]. */
    public data class Replicate(
        val term: Term,
        val after: LogPosition,
        val entries: PersistentList<LogEntry>,
    ) : InstanceMessage

    /** Leads the group from now on. */
    public data class Promote(
        val term: Term,
        val reply: CompletableDeferred<Result<Unit, TargetFault>>,
    ) : InstanceMessage
}
