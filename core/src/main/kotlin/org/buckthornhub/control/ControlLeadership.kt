package org.buckthornhub.control

import org.buckthornhub.fleet.VmId

/**
 * Who leads the control quorum, as this VM knows it.
 *
 * @property controlTerm term of the replicated log, not of any group
 * @property sinceMillis local monotonic time since which this VM leads; meaningful only if [isLeader]
 */
public data class ControlLeadership(
    val controlTerm: Long = 0,
    val leader: VmId? = null,
    val isLeader: Boolean = false,
    val sinceMillis: Long = 0,
)
