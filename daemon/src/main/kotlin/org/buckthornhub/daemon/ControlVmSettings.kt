package org.buckthornhub.daemon

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/**
 * Settings of a control VM that discovers the quorum through introducers.
 *
 * @property zone availability zone of the VM; the members of the quorum are spread over zones
 * @property introducers VMs that are contacted to discover the quorum; at the first start they bootstrap it
 * @property isFirstStart true only if no quorum has ever been bootstrapped
 * @property toleratedLosses number of control VMs that may be lost with their disks at the same time
 * @property port TCP port of the interface between daemons, the same on all control VMs
 * @property isFencedByPlatform whether an old primary loses its role at the moment of a promotion; see docs/design/platform.md
 * @property adaptsToLoad whether limits follow the measured load: usable announced times, and reserves that start as full as is safe
 * @property evacuationMillis time from the acknowledgement of an evacuation until no request may reach the zone; null if the
 * deployment has no such orders
 */
public data class ControlVmSettings(
    val vm: VmId,
    val zone: ZoneId,
    val introducers: List<VmId>,
    val isFirstStart: Boolean,
    val toleratedLosses: Int,
    val port: Int,
    val dataFolder: String,
    val isFencedByPlatform: Boolean = true,
    val adaptsToLoad: Boolean = false,
    val evacuationMillis: Long? = null,
)
