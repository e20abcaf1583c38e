package org.buckthornhub.cli.explain.log

/**
 * What is found about one request.
 *
 * @property own kinds of its lines, or "served"
 * @property around messages of the fleet that concern it
 * @property alike failures of the same kind at that time, by VM
 */
internal data class LogCase(
    val name: String,
    val id: String,
    val own: List<String> = emptyList(),
    val around: List<String> = emptyList(),
    val alike: Map<String, Int> = emptyMap(),
) {
    override fun toString(): String = name
}
