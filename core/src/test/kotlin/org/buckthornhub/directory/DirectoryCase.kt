package org.buckthornhub.directory

/** Announcements in their order of arrival, and the records that remain. */
internal data class DirectoryCase(
    val name: String,
    val announced: List<InstanceRecord>,
    val expected: List<InstanceRecord>,
) {
    override fun toString(): String = name
}
