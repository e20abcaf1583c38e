package org.buckthornhub.control

/** Commands applied in order to an empty state, and what the last one has to come to. */
internal class MachineCase(
    private val name: String,
    val commands: List<ControlCommand>,
    val expected: CommandOutcome,
    val revision: Long,
) {
    override fun toString(): String = name
}
