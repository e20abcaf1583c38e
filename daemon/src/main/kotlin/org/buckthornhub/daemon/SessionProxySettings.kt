package org.buckthornhub.daemon

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.quota.LimitTolerance

/**
 * Settings of a daemon that serves sessions.
 *
 * @property introducers control VMs that are asked first
 * @property controlPort port of the interface between daemons on control VMs
 * @property keyFreshMillis age of the proof of keys from which requests are refused
 * @property graceMillis from the signal to stop until the process has to be gone
 * @property primaryDrainMillis how long a leaving primary is used
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
)
