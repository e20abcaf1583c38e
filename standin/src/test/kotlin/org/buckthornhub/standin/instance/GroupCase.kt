package org.buckthornhub.standin.instance

/**
 * Steps executed on a group of three instances, and the expected final state of each.
 *
 * @property received commands in the log of each instance, joined by a semicolon
 * @property applied applied position of each instance
 * @property discarded number of entries that each instance discarded
 */
internal data class GroupCase(
    val name: String,
    val steps: List<GroupStep>,
    val received: List<String>,
    val applied: List<Long>,
    val discarded: List<Int> = listOf(0, 0, 0),
) {
    override fun toString(): String = name
}
