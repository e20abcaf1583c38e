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

    /** Completes the request [ticket] with [connection]. */
    public data class CheckOut(
        val ticket: Long,
        val connection: PoolConnection,
        val instance: InstanceRecord,
    ) : PoolEffect

    /** Refuses the request [ticket] because no connection became available in time; [hasNoPrimary] if the group has no known primary. */
    public data class Refuse(
        val ticket: Long,
        val hasNoPrimary: Boolean,
    ) : PoolEffect
}
