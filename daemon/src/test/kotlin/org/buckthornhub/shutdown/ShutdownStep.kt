package org.buckthornhub.shutdown

/** A message at [atMillis] and the expected phase and effects. */
internal data class ShutdownStep(
    val atMillis: Long,
    val message: ShutdownMessage,
    val phase: ShutdownPhase,
    val effects: List<ShutdownEffect> = emptyList(),
)
