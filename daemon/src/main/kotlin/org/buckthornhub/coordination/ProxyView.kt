package org.buckthornhub.coordination

import org.buckthornhub.clock.Clock
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.fleet.VmId
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.BucketRate
import org.buckthornhub.quota.LimitTolerance
import org.buckthornhub.quota.TokenReserve
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.RouteTable

/**
 * What a daemon that serves sessions has learnt from the control quorum.
 *
 * @property proof when a majority still stood behind [table]; null if never
 * @property controlVms where to ask, the likely leader first
 * @property proxies daemons that serve sessions
 * @property rank of this one among them, from 0 on
 * @property directoryRevision of the leader of [controlTerm]
 */
internal data class ProxyView(
    val table: RouteTable? = null,
    val proof: FreshProof? = null,
    val controlVms: List<VmId> = emptyList(),
    val controlTerm: Long = 0,
    val directoryRevision: Long = -1,
    val directory: InstanceDirectory = InstanceDirectory(),
    val shares: Map<OrganisationId, Double> = emptyMap(),
    val proxies: Int = 1,
    val rank: Int = 0,
) {
    /** True while no key can have been taken away for longer than [limitMillis] without this daemon knowing. */
    fun isFresh(clock: Clock, limitMillis: Long): Boolean = ageMillis(clock)?.let { it <= limitMillis } ?: false

    /** Time since a majority stood behind [table]. */
    fun ageMillis(clock: Clock): Long? = proof?.ageMillis(clock.nowMillis(), clock.wallMillis())

    /**
     * What this daemon may let through for [access] without asking, of what the reserve leaves.
     *
     * The tolerance goes to the burst, for callers who come unevenly.
     */
    fun rateOf(access: OrganisationAccess, tolerance: LimitTolerance): BucketRate {
        val count = if (shares.isEmpty()) maxOf(proxies, FEWEST_PROXIES) else proxies
        val own = access.limit.scaledBy((1 - TokenReserve.FRACTION) * (shares[access.organisation] ?: (1.0 / count)))
        return own.copy(burst = own.burst * (1 + tolerance.burstFraction) + tolerance.operations / count)
    }

    private companion object {
        /** A daemon without a part of the limit takes the fleet to be at least this large. */
        const val FEWEST_PROXIES = 8
    }
}
