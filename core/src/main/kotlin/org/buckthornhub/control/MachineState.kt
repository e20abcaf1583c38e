package org.buckthornhub.control

import kotlinx.serialization.Serializable

/**
 * State of [ControlStateMachine]: the control state and the data for the detection of resends and conflicts.
 *
 * @property outcomes outcomes of the most recent changes, oldest first, returned for resends
 * @property lastPlans change that created the current list of plans
 * @property lastGrants change that created the current list of grants
 */
@Serializable
public data class MachineState(
    val control: ControlState = ControlState(),
    val outcomes: Map<ChangeId, CommandOutcome> = emptyMap(),
    val lastPlans: ChangeId? = null,
    val lastGrants: ChangeId? = null,
)
