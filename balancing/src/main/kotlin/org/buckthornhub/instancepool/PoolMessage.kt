package org.buckthornhub.instancepool

import org.buckthornhub.connection.TargetConnectionState
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.load.StatementSample
import org.buckthornhub.instancepool.waiting.HoldKind
import org.buckthornhub.instancepool.waiting.ReturnCause
import org.buckthornhub.target.TargetId

/** Messages to the connection pool of a daemon. */
public sealed interface PoolMessage {
    public data class Acquire(val waiting: PendingConnectionRequest) : PoolMessage

    /**
     * A session has released a connection.
     *
     * @property state session state of the connection on the target; null if it can't be used again
     * @property applied newest position in the answers of the instance
     * @property isSilent true if the instance did not answer in time
     * @property samples results of the newest statements on this connection since it was checked out, oldest first
     */
    public data class Released(
        val connection: ConnectionId,
        val target: TargetId,
        val state: TargetConnectionState?,
        val applied: Position?,
        val isSilent: Boolean = false,
        val samples: List<StatementSample> = emptyList(),
    ) : PoolMessage

    /** @property tookMillis time that the instance took to open the connection; null if unknown */
    public data class Opened(
        val connection: ConnectionId,
        val target: TargetId,
        val applied: Position?,
        val tookMillis: Long? = null,
    ) : PoolMessage

    /** The connection could not be opened: the instance is unreachable, accepts no more connections, or is not the expected one. */
    public data class OpenFailed(
        val connection: ConnectionId,
        val target: TargetId,
    ) : PoolMessage

    /** The link of an idle connection has ended. */
    public data class Closed(
        val connection: ConnectionId,
        val target: TargetId,
    ) : PoolMessage

    /** [target] refused to act as primary. */
    public data class Demoted(val target: TargetId) : PoolMessage

    /** All instances that are currently known. */
    public data class Directory(val records: Collection<InstanceRecord>) : PoolMessage

    /**
     * @property limits maximum number of connections to one instance, by group
     * @property shortLived groups to whose instances no idle connection is kept
     */
    public data class Limits(
        val limits: Map<GroupId, Int>,
        val shortLived: Set<GroupId> = emptySet(),
    ) : PoolMessage

    /** The periodic timer of the pool fired, or a wait is due. */
    public data object Tick : PoolMessage

    /**
     * A statement was refused for [cause] by something other than the pool; answered by [PoolEffect.Return].
     *
     * @property kind what the statement asked for; null if the refusal concerns all groups
     * @property maxReturnMillis longest time in ms after which the caller can use a further attempt
     */
    public data class ReturnAsked(
        val ticket: Long,
        val kind: HoldKind?,
        val cause: ReturnCause,
        val maxReturnMillis: Long,
    ) : PoolMessage
}
