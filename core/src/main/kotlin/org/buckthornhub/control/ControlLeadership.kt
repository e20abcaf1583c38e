package org.buckthornhub.control

import org.buckthornhub.fleet.VmId

/**
 * The leader of the control quorum, as known to this VM.
 *
 * @property controlTerm term of the replicated log, not of any group
 * @property sinceMillis local monotonic time at which this VM became the leader; valid only if [isLeader]
 */
public data class ControlLeadership(
    val controlTerm: Long = 0,
    val leader: VmId? = null,
    val isLeader: Boolean = false,
    val sinceMillis: Long = 0,
)
