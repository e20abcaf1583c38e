package org.buckthornhub.instancepool.waiting

import org.buckthornhub.organisation.OrganisationId

/**
 * A connection in use.
 *
 * @property sinceMillis local monotonic time since which it is in use
 * @property chargedMillis time that was charged to [organisation] in advance
 */
public data class HeldConnection(
    val kind: HoldKind,
    val organisation: OrganisationId,
    val sinceMillis: Long,
    val chargedMillis: Double,
)
