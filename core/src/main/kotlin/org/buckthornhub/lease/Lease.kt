package org.buckthornhub.lease

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term

/**
 * The right of this daemon to acknowledge writes of [group] in [term].
 *
 * @property validUntilMillis local monotonic time, counted from before the request and less the drift margin
 */
public data class Lease(
    val group: GroupId,
    val term: Term,
    val validUntilMillis: Long,
)
