package org.buckthornhub.fleet

import kotlinx.serialization.Serializable

/**
 * A probe or its acknowledgement, with what the sender has to tell.
 *
 * @property join true if the sender wants everything that the receiver knows
 */
@Serializable
public data class GossipBody(
    val from: DaemonEntry,
    val daemons: List<DaemonEntry> = emptyList(),
    val targets: List<TargetNews> = emptyList(),
    val join: Boolean = false,
)
