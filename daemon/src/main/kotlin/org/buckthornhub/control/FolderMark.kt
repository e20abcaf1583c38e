package org.buckthornhub.control

import kotlinx.serialization.Serializable
import org.buckthornhub.replication.Member

/** Identity file of a data folder: its format and the member that owns it. */
@Serializable
internal data class FolderMark(
    val format: Int,
    val owner: Member,
)
