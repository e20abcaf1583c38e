package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId

/**
 * Timings and sizes of the replicated log.
 *
 * @property vms the control VMs, this one included
 * @property electionMillis from this to twice this without a heartbeat starts an election
 * @property compactAfter applied entries that are kept before a snapshot takes their place
 * @property batchLimit entries in one message
 */
public data class ReplicationSettings(
    val vms: Set<VmId>,
    val heartbeatMillis: Long = 100,
    val electionMillis: Long = 400,
    val compactAfter: Int = 256,
    val batchLimit: Int = 128,
)
