package org.buckthornhub.instancepool

import org.buckthornhub.directory.InstanceRecord

/** Known instances, a connection request, and the instance to which the pool opens a connection for it; null if to none. */
internal data class PlacementCase(
    val name: String,
    val records: List<InstanceRecord>,
    val request: ConnectionRequest,
    val opened: String?,
    val prepare: (PoolState) -> PoolState = { it },
) {
    override fun toString(): String = name
}
