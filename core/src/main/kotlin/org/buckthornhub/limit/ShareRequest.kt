package org.buckthornhub.limit

import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.ZoneId

/**
 * A daemon's claims of the shares of its zone, all in one message.
 *
 * @property controlTerm term of the control leader that the daemon believes in; claims are renewed only in that term
 * @property askedMillis monotonic time of the daemon before it sent this
 */
@Serializable
public data class ShareRequest(
    val holder: HolderId,
    val zone: ZoneId,
    val controlTerm: Long,
    val askedMillis: Long,
    val claims: List<ShareClaim>,
)
