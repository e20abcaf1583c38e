package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/**
 * A probe or its acknowledgement, with piggybacked updates.
 *
 * @property join true if the sender requests the complete view of the receiver
 */
@Serializable
public data class GossipBody(
    val from: DaemonEntry,
    val daemons: List<DaemonEntry> = emptyList(),
    val targets: List<TargetUpdate> = emptyList(),
    val join: Boolean = false,
)
