package org.buckthornhub.lease

import org.buckthornhub.group.Term

/**
 * A lease as the granting side remembers it.
 *
 * @property holder null once the holder has released it
 * @property untilMillis local time until which the holder may count on it
 */
public data class Grant(
    val holder: HolderId?,
    val term: Term,
    val untilMillis: Long,
)
