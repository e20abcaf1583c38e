package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId

/**
 * Configuration of databases, groups and organisations by operators; always replaced as a whole.
 *
 * @property version the table with the highest version applies
 * @property transactionIdleMillis idle time after which an open transaction may be rolled back
 */
@Serializable
public data class RouteTable(
    val version: Long = 0,
    val routes: Map<DatabaseName, DatabaseRoute> = emptyMap(),
    val groups: Map<GroupId, GroupLimits> = emptyMap(),
    val organisations: Map<OrganisationId, OrganisationAccess> = emptyMap(),
    val transactionIdleMillis: Long = DEFAULT_TRANSACTION_IDLE_MILLIS,
) {
    // A property with a value of its own would be a part of the encoded table: each key with all keys of its organisation.
    private val holders: Map<KeyDigest, OrganisationAccess> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        organisations.values.flatMap { access -> access.keys.map { it to access } }.toMap()
    }

    /** Returns the organisation whose key has [digest]; null if there is none. */
    public fun holderOf(digest: KeyDigest): OrganisationAccess? = holders[digest]

    public companion object {
        /** Applies until operators send a table with another value. */
        public const val DEFAULT_TRANSACTION_IDLE_MILLIS: Long = 3_000
    }
}
