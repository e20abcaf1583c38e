package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId

/** A message in flight. */
internal data class Packet(
    val from: VmId,
    val to: VmId,
    val message: PeerMessage,
)
