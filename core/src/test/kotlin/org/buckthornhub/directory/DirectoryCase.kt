package org.buckthornhub.directory

/** Announcements in the order of their arrival, and what they leave. */
internal data class DirectoryCase(
    val name: String,
    val announced: List<InstanceRecord>,
    val expected: List<InstanceRecord>,
) {
    override fun toString(): String = name
}
