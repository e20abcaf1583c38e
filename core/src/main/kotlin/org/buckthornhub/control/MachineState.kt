package org.buckthornhub.control

import kotlinx.serialization.Serializable

/**
 * The control state with what its state machine has to remember besides.
 *
 * @property outcomes outcome of each of the newest changes, oldest first, for resends
 * @property lastPlans change that made the current list of plans, and [lastGrants] that of grants
 */
@Serializable
public data class MachineState(
    val control: ControlState = ControlState(),
    val outcomes: Map<ChangeId, CommandOutcome> = emptyMap(),
    val lastPlans: ChangeId? = null,
    val lastGrants: ChangeId? = null,
)
