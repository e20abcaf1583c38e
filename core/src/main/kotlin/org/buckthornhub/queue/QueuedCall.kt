package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId

/**
 * A call that waits for a connection to a target.
 *
 * @property ticket names the call at the owner of the target
 * @property organisation null on groups open to all, which share one place in the rotation
 * @property costMillis connection time that the call is expected to take in ms
 */
public data class QueuedCall(
    val ticket: Long,
    val organisation: OrganisationId?,
    val costMillis: Double,
)
