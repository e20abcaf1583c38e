package org.buckthornhub.lease

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/**
 * The right of this daemon to acknowledge writes of [group] in [term].
 *
 * @property validUntilMillis local monotonic time, counted from before the request and less the drift margin
 * @property isDraining true if no new write may start, because the lease is being handed back
 */
public data class Lease(
    val group: GroupId,
    val term: Term,
    val validUntilMillis: Long,
    val isDraining: Boolean = false,
)
