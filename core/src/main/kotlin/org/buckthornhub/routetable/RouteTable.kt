package org.buckthornhub.routetable

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.KeyDigest
import org.buckthornhub.organisation.OrganisationId

/**
 * All that operators decide about databases, groups and organisations, replaced as a whole.
 *
 * @property version the highest one is in force
 * @property transactionIdleMillis an open transaction without a statement for this long may be rolled back
 */
@Serializable
public data class RouteTable(
    val version: Long = 0,
    val routes: Map<DatabaseName, DatabaseRoute> = emptyMap(),
    val groups: Map<GroupId, GroupLimits> = emptyMap(),
    val organisations: Map<OrganisationId, OrganisationAccess> = emptyMap(),
    val transactionIdleMillis: Long = DEFAULT_TRANSACTION_IDLE_MILLIS,
) {
    private val holders: Map<KeyDigest, OrganisationAccess> =
        organisations.values.flatMap { access -> access.keys.map { it to access } }.toMap()

    /** The organisation that holds the key of [digest] now. */
    public fun holderOf(digest: KeyDigest): OrganisationAccess? = holders[digest]

    public companion object {
        /** Used until operators have sent a table that says otherwise. */
        public const val DEFAULT_TRANSACTION_IDLE_MILLIS: Long = 3_000
    }
}
