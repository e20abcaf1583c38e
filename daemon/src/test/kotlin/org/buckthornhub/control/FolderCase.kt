package org.buckthornhub.control

import java.io.File

/** Something that happens to a data folder between two starts, and what the second start says; null if it goes well. */
internal class FolderCase(
    private val name: String,
    val fault: String?,
    val records: Int,
    val happen: (File) -> Unit,
) {
    override fun toString(): String = name
}
