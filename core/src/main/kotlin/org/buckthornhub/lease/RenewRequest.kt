package org.buckthornhub.lease

import kotlinx.serialization.Serializable

/**
 * All that one daemon wants of the control leader, once a period; it is also the daemon's heartbeat.
 *
 * @property sequence grows with each request; the control leader passes over what arrives out of order
 * @property controlTerm term of the control leader that the request is meant for
 * @property released leases that the daemon no longer counts on, repeated until that is acknowledged
 * @property reports owned targets that have changed
 */
@Serializable
public data class RenewRequest(
    val holder: HolderId,
    val sequence: Long,
    val controlTerm: Long,
    val claims: List<LeaseClaim> = emptyList(),
    val released: List<GroupTerm> = emptyList(),
    val reports: List<TargetReport> = emptyList(),
)
