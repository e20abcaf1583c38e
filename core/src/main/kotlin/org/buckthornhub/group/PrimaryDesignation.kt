package org.buckthornhub.group

import kotlinx.serialization.Serializable
import org.buckthornhub.target.TargetId

/**
 * The only instance of a group that may act as its primary, as committed by the control quorum.
 *
 * @property number grows by one with each designation of the group, starting at 1
 */
@Serializable
public data class PrimaryDesignation(
    val target: TargetId,
    val number: Long,
)
