package org.buckthornhub.coordination

/**
 * Evacuation of zones in a group with the primary in zone a and replicas in b and c, of which c has received most.
 *
 * @property orderedMillis when the control leader learns of the order; it surveys at once
 * @property isUnreachable whether the daemons can't reach the primary, from the beginning
 * @property surveyMillis how long the answers to a survey take
 */
internal class EvacuatedPrimaryCase(
    private val name: String,
    val zones: Set<String>,
    val orderedMillis: Long = 2_000,
    val isUnreachable: Boolean = false,
    val surveyMillis: Long = 0,
    val promoted: List<String>,
) {
    override fun toString(): String = name
}
