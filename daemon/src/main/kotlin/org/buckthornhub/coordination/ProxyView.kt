package org.buckthornhub.coordination

import org.buckthornhub.clock.Clock
import org.buckthornhub.control.Evacuations
import org.buckthornhub.directory.InstanceDirectory
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.PrimaryDesignations
import org.buckthornhub.horizon.CommitSample
import org.buckthornhub.horizon.LeaderClock
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.quota.BucketRate
import org.buckthornhub.quota.FallbackTokens
import org.buckthornhub.quota.LimitDivision
import org.buckthornhub.quota.LimitTolerance
import org.buckthornhub.routetable.OrganisationAccess
import org.buckthornhub.routetable.RouteTable

/**
 * State that a daemon with sessions has received from the control quorum.
 *
 * @property confirmedAt when a majority last confirmed [table] as current; null if never
 * @property controlVms control VMs to send reports to, the likely leader first
 * @property shares this daemon's fraction of each organisation's limit; empty in a fleet that is too large for shares
 * @property isFleetKnown whether a leader that knows the fleet has told [proxies], [rank] and [shares]
 * @property proxies number of daemons that serve sessions
 * @property rank of this daemon among them, counted from 0
 * @property directoryRevision revision of [directory] at the leader of [controlTerm]
 * @property designations designated primaries, which this daemon obeys
 * @property leasedAt time from which the lease for the use of primaries counts; null if there was none yet
 * @property leaderClock newest reading of the control leader's clock
 * @property positions commit positions that other daemons have shared, on this daemon's clock
 * @property evacuations availability zones whose instances may receive no requests
 * @property evacuatedSince for each of these zones, a time before the acknowledgement of the order
 */
internal data class ProxyView(
    val table: RouteTable? = null,
    val confirmedAt: ClockReading? = null,
    val controlVms: List<VmId> = emptyList(),
    val controlTerm: Long = 0,
    val directoryRevision: Long = -1,
    val directory: InstanceDirectory = InstanceDirectory(),
    val shares: Map<OrganisationId, Double> = emptyMap(),
    val isFleetKnown: Boolean = false,
    val proxies: Int = 1,
    val rank: Int = 0,
    val designations: PrimaryDesignations = PrimaryDesignations(),
    val leasedAt: ClockReading? = null,
    val leaderClock: LeaderClock? = null,
    val positions: Map<GroupId, CommitSample> = emptyMap(),
    val evacuations: Evacuations = Evacuations(),
    val evacuatedSince: Map<ZoneId, ClockReading> = emptyMap(),
) {
    /** Returns whether the control leader has given this daemon a lease for the use of primaries that has not expired. */
    fun hasPrimaryLease(clock: Clock): Boolean =
        leasedAt?.let { it.ageMillis(clock.nowMillis(), clock.wallMillis()) in 0..PrimaryLeases.HOLDER_LEASE_MILLIS } ?: false

    /**
     * Returns whether a majority confirmed [table] within [limitMillis], so that older key withdrawals are known here.
     *
     * A time of the future confirms nothing.
     */
    fun isFresh(clock: Clock, limitMillis: Long): Boolean = ageMillis(clock)?.let { it in 0..limitMillis } ?: false

    /** Returns the time since a majority confirmed [table]; null if it never did. */
    fun ageMillis(clock: Clock): Long? = confirmedAt?.ageMillis(clock.nowMillis(), clock.wallMillis())

    /**
     * Returns the rate that this daemon may admit for [access] on its own: its share of the limit without the reserve.
     *
     * The tolerance is added to the burst, because callers spread unevenly over the daemons.
     */
    fun rateOf(access: OrganisationAccess, tolerance: LimitTolerance): BucketRate {
        val count = if (isFleetKnown) proxies else maxOf(proxies, MIN_ASSUMED_PROXIES)
        val share = access.limit.scaledBy((1 - LimitDivision.reserveFraction(count)) * (shares[access.organisation] ?: (1.0 / count)))
        return share.copy(burst = share.burst * (1 + tolerance.burstFraction) + tolerance.operations / count)
    }

    /** Returns the number of operations that this daemon may admit for [access] in a window while it can't reach the reserve. */
    fun fallbackOf(access: OrganisationAccess, tolerance: LimitTolerance): FallbackTokens =
        if (isFleetKnown) LimitDivision.fallback(access.organisation, access.limit, tolerance, rank, proxies) else FallbackTokens()

    internal companion object {
        /** Earlier than any time on either clock of a daemon. */
        val LONG_AGO = ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2)

        /** Smallest fleet size assumed by a daemon that has no share of the limits yet. */
        private const val MIN_ASSUMED_PROXIES = 8
    }
}
