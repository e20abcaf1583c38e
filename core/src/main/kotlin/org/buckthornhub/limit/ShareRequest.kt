package org.buckthornhub.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/**
 * A daemon's claims for shares of its zone, in one message.
 *
 * @property controlTerm latest term of a control leader known to the daemon; the leader rejects claims with another term
 * @property requestedMillis monotonic time of the daemon before it sent the request
 */
@Serializable
public data class ShareRequest(
    val holder: HolderId,
    val zone: ZoneId,
    val controlTerm: Long,
    @SerialName("askedMillis") val requestedMillis: Long,
    val claims: List<ShareClaim>,
)
