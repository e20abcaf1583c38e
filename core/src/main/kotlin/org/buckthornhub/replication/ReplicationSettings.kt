package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId

/**
 * Timings and sizes of the replicated log.
 *
 * @property vms the control VMs, this one included if it is one of them; as many members are kept
 * @property mayForm false on a VM that may have lost the disk of an earlier quorum: it only joins
 * @property isOpen true if other VMs may stand by, and take the place of a member that is silent for [silentMillis]
 * @property electionMillis from this to twice this without a heartbeat starts an election
 * @property compactAfter applied entries that are kept before a snapshot takes their place
 * @property batchLimit entries in one message
 */
public data class ReplicationSettings(
    val vms: Set<VmId>,
    val mayForm: Boolean = true,
    val isOpen: Boolean = false,
    val silentMillis: Long = 3_000,
    val heartbeatMillis: Long = 100,
    val electionMillis: Long = 400,
    val compactAfter: Int = 256,
    val batchLimit: Int = 128,
)
