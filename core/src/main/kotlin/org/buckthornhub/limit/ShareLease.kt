package org.buckthornhub.limit

/**
 * A lease of a share, as recorded by the control leader.
 *
 * @property requestedMillis when the holder sent the request, on the holder's clock
 * @property expiresMillis end of the lease, local monotonic time of the leader, counted from its reply
 */
public data class ShareLease(
    val holder: HolderId,
    val partsPerMillion: Int,
    val requestedMillis: Long,
    val expiresMillis: Long,
)
