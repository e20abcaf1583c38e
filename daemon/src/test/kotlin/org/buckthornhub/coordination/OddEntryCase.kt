package org.buckthornhub.coordination

import org.buckthornhub.directory.InstanceRecord

/** Entry of another writer, made from that of a running instance. */
internal data class OddEntryCase(
    val name: String,
    val change: InstanceRecord.() -> InstanceRecord,
) {
    override fun toString(): String = name
}
