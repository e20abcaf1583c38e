package org.buckthornhub.replication

import kotlinx.serialization.Serializable
import org.buckthornhub.control.MachineState

/** State after the entry [index] of [term], in place of all entries up to it. [members] is empty if no quorum was ever formed. */
@Serializable
public data class Snapshot(
    val index: Long = 0,
    val term: Long = 0,
    val members: Set<Member> = emptySet(),
    val machine: MachineState = MachineState(),
) {
    /** Approximate size of the encoded snapshot without small parts, in characters. */
    internal val chars: Long get() = machine.control.routeTable?.chars?.toLong() ?: 0
}
