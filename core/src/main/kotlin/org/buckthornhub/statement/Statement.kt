package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * A statement of a caller; the proxy doesn't interpret its text.
 *
 * @property repeatable true if the statement is idempotent; any other is sent to a target at most once
 * @property acceptedAgeMillis staleness bound of a read in ms; null requires only that the session's own writes are visible
 */
@Serializable
public data class Statement(
    val group: GroupId,
    val access: Access,
    val text: String,
    val repeatable: Boolean,
    val acceptedAgeMillis: Long? = null,
)
