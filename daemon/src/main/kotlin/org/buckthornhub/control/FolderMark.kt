package org.buckthornhub.control

import kotlinx.serialization.Serializable
import org.buckthornhub.replication.Member

/** Says whose data folder it is, and in which format. */
@Serializable
internal data class FolderMark(
    val format: Int,
    val owner: Member,
)
