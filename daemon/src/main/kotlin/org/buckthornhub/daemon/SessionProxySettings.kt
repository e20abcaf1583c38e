package org.buckthornhub.daemon

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.instancepool.PoolSettings
import org.buckthornhub.quota.LimitTolerance

/**
 * Settings of a daemon that serves sessions.
 *
 * @property introducers control VMs that are contacted in addition to those already known
 * @property controlPort TCP port of the interface between daemons on control VMs
 * @property keyFreshMillis age of the last confirmed list of keys from which requests are refused
 * @property graceMillis time from the stop signal until the process must have exited
 * @property primaryDrainMillis how long a primary is still used after it announced its shutdown
 * @property isFencedByPlatform whether an old primary loses its role at the moment of a promotion; otherwise this daemon uses
 * primaries only under a lease
 * @property adaptsToLoad whether placement, waiting and refusals follow the measured load; otherwise fixed estimates are used
 * @property evacuationMillis time from an operator's order to evacuate a zone until no request may reach an instance there; null if
 * the deployment has no such orders
 * @property leavingPriceMillis how many ms shorter a read must be in another zone to be worth sending there, where [adaptsToLoad]
 */
public data class SessionProxySettings(
    val vm: VmId,
    val zone: ZoneId,
    val introducers: List<VmId>,
    val controlPort: Int,
    val keyFreshMillis: Long,
    val graceMillis: Long,
    val primaryDrainMillis: Long,
    val tolerance: LimitTolerance,
    val isFencedByPlatform: Boolean = true,
    val adaptsToLoad: Boolean = false,
    val evacuationMillis: Long? = null,
    val leavingPriceMillis: Long = PoolSettings.DEFAULT_LEAVING_PRICE_MILLIS,
)
