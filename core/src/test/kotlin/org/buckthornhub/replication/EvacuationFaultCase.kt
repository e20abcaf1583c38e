package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId

/**
 * Fault around an order to evacuate a zone.
 *
 * @property fault what happens once the order, proposal 0, was sent to the leader, which is passed
 */
internal class EvacuationFaultCase(
    private val name: String,
    val fault: FakeCluster.(leader: VmId) -> Unit,
) {
    override fun toString(): String = name
}
