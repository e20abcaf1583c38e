package org.buckthornhub.queue

import org.buckthornhub.organisation.OrganisationId

/**
 * A call that waits for a connection to a target.
 *
 * @property ticket identifies the call at the owner of the target
 * @property organisation null for calls to open groups without a key, which share one queue in the rotation
 * @property costMillis expected connection time of the call in ms
 */
public data class QueuedCall(
    val ticket: Long,
    val organisation: OrganisationId?,
    val costMillis: Double,
)
