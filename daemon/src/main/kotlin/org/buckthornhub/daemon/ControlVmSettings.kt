package org.buckthornhub.daemon

import org.buckthornhub.fleet.VmId

/**
 * Settings of a control VM that is found through introducers.
 *
 * @property introducers VMs that know the quorum; at the first start they form it
 * @property isFirstStart true only if no quorum was ever formed
 * @property port of the interface between daemons, the same on all control VMs
 */
public data class ControlVmSettings(
    val vm: VmId,
    val introducers: List<VmId>,
    val isFirstStart: Boolean,
    val port: Int,
    val dataFolder: String,
)
