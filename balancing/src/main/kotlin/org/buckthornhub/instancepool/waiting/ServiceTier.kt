package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest

/**
 * Statements that get connections before those of the next tier.
 *
 * Within a tier, statements that can use an idle connection get it before one may be closed to make room for a new one.
 *
 * @property mayOpen whether connections are opened for them, which may close idle ones of other organisations
 */
public data class ServiceTier(
    val statements: List<PendingConnectionRequest>,
    val mayOpen: Boolean = true,
)
