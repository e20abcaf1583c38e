package org.buckthornhub.statement

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId

/**
 * One statement of a caller; the text is opaque to the proxy.
 *
 * @property repeatable true if running it twice does no harm; anything else is sent to a target at most once
 * @property acceptedAgeMillis age of data that a read accepts in ms; null asks for the session's own writes only
 */
@Serializable
public data class Statement(
    val group: GroupId,
    val access: Access,
    val text: String,
    val repeatable: Boolean,
    val acceptedAgeMillis: Long? = null,
)
