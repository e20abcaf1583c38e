package org.buckthornhub.failover

import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/**
 * Instance that was chosen to lead a group.
 *
 * @property received position up to which it is known to have received the log
 * @property replaced the primary that it replaces; null if none is known, or more than one instance claims to be it
 * @property designation number of the newest designation of the group
 */
internal data class PromotionChoice(
    val target: TargetId,
    val received: Position,
    val reason: String,
    val replaced: TargetId?,
    val designation: Long,
)
