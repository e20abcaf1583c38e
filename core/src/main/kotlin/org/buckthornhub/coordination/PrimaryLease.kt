package org.buckthornhub.coordination

/**
 * Lease of one daemon for the use of primaries.
 *
 * @property revision revision of the designations that the daemon obeys
 * @property reportedMillis arrival of its newest report (local monotonic ms)
 */
public data class PrimaryLease(
    val revision: Long,
    val reportedMillis: Long,
)
