package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/**
 * One daemon of the fleet.
 *
 * @property address `host:port` where its peers and callers reach it
 * @property incarnation grows with each start of the daemon
 */
@Serializable
public data class DaemonEntry(
    val vm: VmId,
    val zone: ZoneId,
    val address: String,
    val incarnation: Long,
    val state: DaemonState = DaemonState.ALIVE,
    val control: Boolean = false,
)
