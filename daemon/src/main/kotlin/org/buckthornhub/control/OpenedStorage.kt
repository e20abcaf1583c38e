package org.buckthornhub.control

import org.buckthornhub.replication.ControlStorage
import org.buckthornhub.replication.DurableState
import org.buckthornhub.replication.Member

/** A validated data folder: the member that owns it, its recovered state, and the storage that writes to it. */
internal class OpenedStorage(
    val self: Member,
    val state: DurableState,
    val storage: ControlStorage,
)
