package org.buckthornhub.control

/** Commands applied in order to an empty state, and the expected outcome of the last one. */
internal class MachineCase(
    private val name: String,
    val commands: List<ControlCommand>,
    val expected: CommandOutcome,
    val revision: Long,
) {
    override fun toString(): String = name
}
