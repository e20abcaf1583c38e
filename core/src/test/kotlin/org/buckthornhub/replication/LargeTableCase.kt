package org.buckthornhub.replication

/**
 * Series of [count] tables of [chars] each.
 *
 * @property mostKept entries that the log may keep after the last of them is applied
 * @property mostPending tables that may wait for a majority while there is none
 */
internal data class LargeTableCase(
    val name: String,
    val count: Int,
    val chars: Int,
    val mostKept: Int,
    val mostPending: Int,
) {
    override fun toString(): String = name
}
