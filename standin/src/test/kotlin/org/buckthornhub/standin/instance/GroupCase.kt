package org.buckthornhub.standin.instance

/**
 * Steps of a group of three, and what its instances hold in the end.
 *
 * @property received commands in the log of each instance, joined by a semicolon
 * @property applied positions that reads on each instance see
 * @property discarded entries that each instance threw away
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
