package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/**
 * Tokens and waiting admissions of one daemon, by organisation.
 *
 * @property zones zones with a share holder, the local zone first
 * @property settledMillis when settlements were last flushed, local monotonic time
 * @property settlements pending settlements, sent with the next message to the holder of each zone
 */
public data class TokenClientState(
    val zones: PersistentList<ZoneId> = persistentListOf(),
    val nextRequestId: Long = 0,
    val localTokens: PersistentMap<OrganisationId, LocalTokens> = persistentMapOf(),
    val settlements: PersistentMap<ZoneId, PersistentList<BatchSettlement>> = persistentMapOf(),
    val settledMillis: Long = 0,
) {
    public fun withLocalTokens(organisation: OrganisationId, local: LocalTokens): TokenClientState =
        copy(localTokens = localTokens.put(organisation, local))

    /** Returns this state with [ended] added to the pending settlements of [zone]. */
    public fun withSettlement(zone: ZoneId, ended: BatchSettlement): TokenClientState =
        copy(settlements = settlements.put(zone, (settlements[zone] ?: persistentListOf()).add(ended)))
}
