package org.buckthornhub.replication

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand

/**
 * A change that an operator asked for, and goes on asking for until it is answered.
 *
 * @property acceptedBefore highest revision that any answer had named when it was first asked for
 */
internal data class Proposal(
    val command: ControlCommand,
    val acceptedBefore: Long,
    val outcome: CommandOutcome? = null,
)
