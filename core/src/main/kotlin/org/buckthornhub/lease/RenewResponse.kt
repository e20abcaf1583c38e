package org.buckthornhub.lease

import kotlinx.serialization.Serializable

/**
 * Answer of the control leader to a [RenewRequest].
 *
 * @property granted leases that last from when the request was sent
 * @property wantedBack leases that the holder has to release
 * @property reportAll true if the control leader wants all reports, not only changes
 */
@Serializable
public data class RenewResponse(
    val sequence: Long,
    val controlTerm: Long,
    val granted: List<GroupTerm> = emptyList(),
    val wantedBack: List<GroupTerm> = emptyList(),
    val reportAll: Boolean = false,
)
