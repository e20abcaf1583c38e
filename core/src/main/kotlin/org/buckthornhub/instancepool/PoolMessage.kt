package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** What the pool of a daemon is told. */
public sealed interface PoolMessage {
    public data class Acquire(val waiting: WaitingWant) : PoolMessage

    /**
     * A session is done with a connection.
     *
     * @property state what the connection holds now; null if it can't be used again
     * @property applied newest position that the instance answered with
     * @property isSilent true if the instance gave no answer in time
     */
    public data class Returned(
        val connection: ConnectionId,
        val target: TargetId,
        val state: TargetConnectionState?,
        val applied: Position?,
        val isSilent: Boolean = false,
    ) : PoolMessage

    public data class Opened(
        val connection: ConnectionId,
        val target: TargetId,
        val applied: Position?,
    ) : PoolMessage

    /** The instance can't be reached, takes no more connections, or is another one. */
    public data class OpenFailed(
        val connection: ConnectionId,
        val target: TargetId,
    ) : PoolMessage

    /** An idle connection ended. */
    public data class Closed(
        val connection: ConnectionId,
        val target: TargetId,
    ) : PoolMessage

    /** [target] refused to lead. */
    public data class Demoted(val target: TargetId) : PoolMessage

    /** All instances that are known now. */
    public data class Directory(val records: Collection<InstanceRecord>) : PoolMessage

    public data class Limits(val limits: Map<GroupId, Int>) : PoolMessage

    /** Time went on. */
    public data object Tick : PoolMessage
}
