package org.buckthornhub.control

import org.buckthornhub.replication.ControlStorage

/**
 * What a control VM stored before a loss of power.
 *
 * @property starts number of starts before the last one, each followed by a loss of power
 * @property records number of entries that were acknowledged
 */
internal class LostNameCase(
    private val name: String,
    val starts: Int,
    val records: Int,
    val store: ControlStorage.() -> Unit,
) {
    override fun toString(): String = name
}
