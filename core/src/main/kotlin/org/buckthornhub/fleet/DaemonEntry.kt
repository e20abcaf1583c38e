package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/**
 * One daemon of the fleet.
 *
 * @property address `host:port` at which peers and callers reach the daemon
 * @property incarnation number that grows with each start of the daemon, and when it refutes a suspicion
 * @property control whether the daemon's VM is a member of the configured control quorum
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
