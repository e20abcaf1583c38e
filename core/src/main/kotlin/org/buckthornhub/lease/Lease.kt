package org.buckthornhub.lease

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/**
 * Lease that lets this daemon acknowledge writes of [group] in [term].
 *
 * @property validUntilMillis local monotonic time, counted from before the request was sent, minus the clock drift margin
 * @property isDraining true if no new write may start because the lease is about to be released
 */
public data class Lease(
    val group: GroupId,
    val term: Term,
    val validUntilMillis: Long,
    val isDraining: Boolean = false,
)
