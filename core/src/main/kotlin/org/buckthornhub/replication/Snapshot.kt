package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import org.buckthornhub.control.MachineState

/** The state after the entry [index] of [term], which stands for all entries up to it. No members: nothing was ever formed. */
@Serializable
public data class Snapshot(
    val index: Long = 0,
    val term: Long = 0,
    val members: Set<Member> = emptySet(),
    val machine: MachineState = MachineState(),
)
