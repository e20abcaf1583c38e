package org.buckthornhub.evacuation

/**
 * Instances of one group, as "name role" with the name of the zone as name, and how a daemon uses them.
 *
 * @property stages stages of the zones; the others are serving
 * @property used the instances with their roles, those that count as leaving in brackets
 */
internal class EvacuatedRecordsCase(
    private val name: String,
    val instances: List<String>,
    val stages: Map<String, EvacuationStage>,
    val used: List<String>,
    val areAllDrained: Boolean = false,
) {
    override fun toString(): String = name
}
