package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/**
 * Timings and sizes of the replicated log.
 *
 * @property vms the configured control VMs, including this one if it is one of them, which form the first quorum
 * @property size intended number of members; a quorum that is smaller takes in standby VMs
 * @property mayBootstrap whether this VM may form a new quorum; false if it may have lost the disk of an earlier one, so that it only joins
 * @property allowsStandby whether other VMs may join as standby and replace a member that has not answered for [silentMillis]
 * @property zone availability zone of this VM; where it is given, standby VMs take the places of members so that zones share few
 * @property electionMillis minimum election timeout; the actual one is chosen at random between this and twice this
 * @property compactAfter number of applied entries after which the log is compacted into a snapshot
 * @property compactAfterChars approximate size of applied entries after which the log is compacted, in characters
 * @property maxPendingChars approximate size of the entries that may wait for a majority, in characters; a single one may be larger
 * @property batchLimit maximum number of entries in one message
 * @property batchChars approximate size of a message with several entries, below what a member accepts
 */
public data class ReplicationSettings(
    val vms: Set<VmId>,
    val size: Int = vms.size,
    val mayBootstrap: Boolean = true,
    val allowsStandby: Boolean = false,
    val silentMillis: Long = 3_000,
    val zone: ZoneId? = null,
    val heartbeatMillis: Long = 100,
    val electionMillis: Long = 400,
    val compactAfter: Int = 256,
    val compactAfterChars: Int = 1_000_000,
    val maxPendingChars: Int = 4_000_000,
    val batchLimit: Int = 128,
    val batchChars: Int = 1_000_000,
)
