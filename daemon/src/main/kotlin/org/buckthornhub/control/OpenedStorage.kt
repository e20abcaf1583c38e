package org.buckthornhub.control

import org.buckthornhub.replication.ControlStorage
import org.buckthornhub.replication.DurableState
import org.buckthornhub.replication.Member

/** A data folder that was checked: whose it is, what it holds, and the way to write it. */
internal class OpenedStorage(
    val self: Member,
    val state: DurableState,
    val storage: ControlStorage,
)
