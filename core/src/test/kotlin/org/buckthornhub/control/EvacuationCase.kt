package org.buckthornhub.control

/** Orders applied in turn to an empty state, and what they lead to; [outcome] is that of the last one. */
internal class EvacuationCase(
    private val name: String,
    val commands: List<ControlCommand.SetEvacuation>,
    val outcome: Class<out CommandOutcome>,
    val zones: Set<String>,
    val revision: Long,
) {
    override fun toString(): String = name
}
