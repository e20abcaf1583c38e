package org.buckthornhub.instancepool

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.organisation.OrganisationId

/** Side effects that the task of the connection pool carries out. */
public sealed interface PoolEffect {
    public data class Open(
        val connection: ConnectionId,
        val instance: InstanceRecord,
        val organisation: OrganisationId,
    ) : PoolEffect

    public data class Close(val connection: ConnectionId) : PoolEffect

    /** Completes the request [token] with [connection]. */
    public data class Lend(
        val token: Long,
        val connection: PoolConnection,
        val instance: InstanceRecord,
    ) : PoolEffect

    /** Refuses the request [token] because no connection became available in time; [isLeaderless] if the group has no known primary. */
    public data class Refuse(
        val token: Long,
        val isLeaderless: Boolean,
    ) : PoolEffect
}
