package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord

/**
 * Announcements to a control leader whose table names [groups]; null for one without a table.
 *
 * @property promoted instances that are ordered to lead
 * @property known instances in the directory in the end
 */
internal data class ForeignGroupCase(
    val name: String,
    val groups: Set<String>?,
    val announced: List<InstanceRecord>,
    val promoted: Set<String>,
    val known: Set<String> = announced.map { it.target.value }.toSet(),
) {
    override fun toString(): String = name
}
