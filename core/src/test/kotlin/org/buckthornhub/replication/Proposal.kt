package org.buckthornhub.replication

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand

/**
 * A change proposed by an operator, who resends it until it is answered.
 *
 * @property acceptedBefore highest revision reported in any answer before the first proposal of this change
 */
internal data class Proposal(
    val command: ControlCommand,
    val acceptedBefore: Long,
    val outcome: CommandOutcome? = null,
)
