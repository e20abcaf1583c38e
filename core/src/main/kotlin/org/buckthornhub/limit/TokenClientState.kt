package org.buckthornhub.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId

/**
 * Tokens and waiting requests of one daemon.
 *
 * @property zones zones whose holders can be asked, the own zone first
 * @property settledMillis when settlements were last sent by themselves
 * @property settlements batches that ended, for the next message to the holder of each zone
 */
public data class TokenClientState(
    val zones: PersistentList<ZoneId> = persistentListOf(),
    val nextAsk: Long = 0,
    val purses: PersistentMap<OrganisationId, Purse> = persistentMapOf(),
    val settlements: PersistentMap<ZoneId, PersistentList<BatchSettlement>> = persistentMapOf(),
    val settledMillis: Long = 0,
) {
    public fun withPurse(organisation: OrganisationId, purse: Purse): TokenClientState = copy(purses = purses.put(organisation, purse))

    /** This state with [ended] to be told to the holder of [zone]. */
    public fun withSettlement(zone: ZoneId, ended: BatchSettlement): TokenClientState =
        copy(settlements = settlements.put(zone, (settlements[zone] ?: persistentListOf()).add(ended)))
}
