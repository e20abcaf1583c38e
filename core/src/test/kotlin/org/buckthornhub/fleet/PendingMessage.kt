package org.buckthornhub.fleet

/** A message in flight to [vm], delivered at [atMillis]. */
internal data class PendingMessage(
    val atMillis: Long,
    val vm: VmId,
    val message: FleetMessage,
)
