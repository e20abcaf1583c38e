package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.instancepool.load.InstanceLoad
import org.buckthornhub.organisation.OrganisationId

/**
 * The pool's connections to one instance and what is known of that instance.
 *
 * @property idle idle connections, least recently used first
 * @property inUse connections in use by sessions, with the organisation of each
 * @property opening connections that are being opened, with the organisation of each
 * @property failures number of consecutive failed connects
 * @property retryAtMillis time before which no connection is opened
 * @property applied newest position that the instance is known to have applied; null if unknown
 * @property lastAnswerMillis time of the last answer of the instance
 * @property leavingSinceMillis time at which this daemon learned that the instance is leaving
 * @property isDemoted true once the instance refused to act as primary, until it announces itself as such again
 * @property load what the statements of this daemon showed of the instance
 */
public data class PoolInstance(
    val record: InstanceRecord,
    val idle: PersistentList<PoolConnection> = persistentListOf(),
    val inUse: PersistentMap<ConnectionId, OrganisationId> = persistentMapOf(),
    val opening: PersistentMap<ConnectionId, OrganisationId> = persistentMapOf(),
    val failures: Int = 0,
    val retryAtMillis: Long = 0,
    val applied: Position? = null,
    val lastAnswerMillis: Long = 0,
    val leavingSinceMillis: Long? = null,
    val isDemoted: Boolean = false,
    val load: InstanceLoad = InstanceLoad(),
) {
    /** Number of connections that count towards the limit: idle, in use and being opened. */
    public val size: Int get() = idle.size + inUse.size + opening.size

    /** Returns an idle connection that can serve [request] without setup for another organisation; null if there is none. */
    internal fun idleConnectionFor(request: ConnectionRequest): PoolConnection? =
        idle.lastOrNull { request.organisation == null || it.state.organisation == request.organisation }
}
