package org.buckthornhub.target.owner

/** An action that is due at [atMillis]; events of the same time run in their [order]. */
internal class SimulationEvent(
    val atMillis: Long,
    val order: Int,
    val action: () -> Unit,
)
