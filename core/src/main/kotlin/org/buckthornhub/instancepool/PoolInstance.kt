package org.buckthornhub.instancepool

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId

/**
 * The connections to one instance.
 *
 * @property idle least recently used first
 * @property lent connections in use by sessions, with the organisation of each
 * @property opening connections on their way, with the organisation that each is for
 * @property failures connects that failed in a row
 * @property retryAtMillis no connect before it
 * @property applied newest position that the instance was seen to have, at [appliedAtMillis]
 * @property leavingSinceMillis when this daemon learnt that the instance leaves
 * @property isDemoted true once it refused to lead, until it announces itself as primary again
 */
public data class PoolInstance(
    val record: InstanceRecord,
    val idle: PersistentList<PoolConnection> = persistentListOf(),
    val lent: PersistentMap<ConnectionId, OrganisationId> = persistentMapOf(),
    val opening: PersistentMap<ConnectionId, OrganisationId> = persistentMapOf(),
    val failures: Int = 0,
    val retryAtMillis: Long = 0,
    val applied: Position? = null,
    val appliedAtMillis: Long = 0,
    val leavingSinceMillis: Long? = null,
    val isDemoted: Boolean = false,
) {
    /** Connections of whatever kind that count at the instance. */
    public val size: Int get() = idle.size + lent.size + opening.size

    /** The open connection that serves [want] as it is, if there is one. */
    internal fun openFor(want: ConnectionWant): PoolConnection? =
        idle.lastOrNull { want.organisation == null || it.state.organisation == want.organisation }
}
