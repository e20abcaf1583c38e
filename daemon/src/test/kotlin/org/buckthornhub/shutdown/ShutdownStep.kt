package org.buckthornhub.shutdown

/** One message at [atMillis] and the phase and effects that it has to lead to. */
internal data class ShutdownStep(
    val atMillis: Long,
    val message: ShutdownMessage,
    val phase: ShutdownPhase,
    val effects: List<ShutdownEffect> = emptyList(),
)
