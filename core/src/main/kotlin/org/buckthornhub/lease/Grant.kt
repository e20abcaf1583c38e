package org.buckthornhub.lease

import org.buckthornhub.group.Term

/**
 * Lease as recorded by the control leader that granted it.
 *
 * @property holder null once the holder has released the lease
 * @property untilMillis local time until which the holder may consider the lease valid
 */
public data class Grant(
    val holder: HolderId?,
    val term: Term,
    val untilMillis: Long,
)
