package org.buckthornhub.instancepool

import org.buckthornhub.directory.InstanceRecord

/** Instances that are known, a want, and the instance to which a connection is opened for it; null if to none. */
internal data class PlacementCase(
    val name: String,
    val records: List<InstanceRecord>,
    val want: ConnectionWant,
    val opened: String?,
    val prepare: (PoolState) -> PoolState = { it },
) {
    override fun toString(): String = name
}
