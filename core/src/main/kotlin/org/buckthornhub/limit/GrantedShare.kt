package org.buckthornhub.limit

/**
 * A lease of a share as the control leader counts it.
 *
 * @property askedMillis when the holder asked for it, on the holder's clock
 * @property expiresMillis local monotonic time of the leader, counted from when it answered
 */
public data class GrantedShare(
    val holder: HolderId,
    val partsPerMillion: Int,
    val askedMillis: Long,
    val expiresMillis: Long,
)
