package org.buckthornhub.fleet

/** A message on its way to [vm]. */
internal data class PendingMessage(
    val atMillis: Long,
    val vm: VmId,
    val message: FleetMessage,
)
