package org.buckthornhub.target.owner

/** Something that happens at [atMillis]; events of the same time keep their order. */
internal class SimulationEvent(
    val atMillis: Long,
    val order: Int,
    val action: () -> Unit,
)
