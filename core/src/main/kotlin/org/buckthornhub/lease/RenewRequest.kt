package org.buckthornhub.lease

import kotlinx.serialization.Serializable

/**
 * Periodic request of one daemon to the control leader for all of its leases; it also serves as the daemon's heartbeat.
 *
 * @property sequence increases with each request; the control leader ignores requests that arrive out of order
 * @property controlTerm term of the control leader that the request is addressed to
 * @property claims leases that the daemon requests or renews
 * @property released leases that the daemon no longer holds, repeated until the control leader acknowledges them
 * @property reports reports of owned targets that have changed since they were last acknowledged
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
