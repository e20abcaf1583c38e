package org.buckthornhub.directory

/** Modification of a valid record, and whether the result may be used. */
internal data class RecordCheckCase(
    val name: String,
    val isValid: Boolean,
    val change: InstanceRecord.() -> InstanceRecord,
) {
    override fun toString(): String = name
}
