package org.buckthornhub.cli.explain.log

/**
 * Expected explanation of one request.
 *
 * @property own error kinds of its lines, or "served"
 * @property related messages of fleet events that concern it
 * @property similar number of failures of the same kind at about the same time, by VM
 */
internal data class LogCase(
    val name: String,
    val id: String,
    val own: List<String> = emptyList(),
    val related: List<String> = emptyList(),
    val similar: Map<String, Int> = emptyMap(),
) {
    override fun toString(): String = name
}
