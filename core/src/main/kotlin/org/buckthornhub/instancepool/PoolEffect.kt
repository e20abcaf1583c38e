package org.buckthornhub.instancepool

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.organisation.OrganisationId

/** What the pool of a daemon wants done. */
public sealed interface PoolEffect {
    public data class Open(
        val connection: ConnectionId,
        val instance: InstanceRecord,
        val organisation: OrganisationId,
    ) : PoolEffect

    public data class Close(val connection: ConnectionId) : PoolEffect

    /** Hands [connection] to the asker of [token]. */
    public data class Lend(
        val token: Long,
        val connection: PoolConnection,
        val instance: InstanceRecord,
    ) : PoolEffect

    /** Nothing was found in time; [isLeaderless] if no instance of the group is known to lead. */
    public data class Refuse(
        val token: Long,
        val isLeaderless: Boolean,
    ) : PoolEffect
}
