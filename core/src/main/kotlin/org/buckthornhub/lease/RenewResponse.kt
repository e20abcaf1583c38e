package org.buckthornhub.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answer of the control leader to a [RenewRequest].
 *
 * @property granted leases granted or renewed; their validity starts when the request was sent
 * @property toRelease leases that the holder has to release
 * @property reportAll true if the next request has to hold all reports, not only changes
 */
@Serializable
public data class RenewResponse(
    val sequence: Long,
    val controlTerm: Long,
    val granted: List<GroupTerm> = emptyList(),
    @SerialName("wantedBack")
    val toRelease: List<GroupTerm> = emptyList(),
    val reportAll: Boolean = false,
)
