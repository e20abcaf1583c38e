package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId

/** A message on its way. */
internal data class Packet(
    val from: VmId,
    val to: VmId,
    val message: PeerMessage,
)
