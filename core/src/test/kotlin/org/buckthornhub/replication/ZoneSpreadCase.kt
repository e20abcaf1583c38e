package org.buckthornhub.replication

import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId

/**
 * Control VMs in availability zones.
 *
 * @property members VMs that form the quorum, each with its zone, such as `vm1a`
 * @property standby VMs that join later, in this order, each with its zone
 * @property lost VMs that fail one after the other, once all have joined
 * @property expected zones of the members in the end, in alphabetic order
 */
internal class ZoneSpreadCase(
    private val name: String,
    val members: List<String>,
    val standby: List<String>,
    val lost: List<String>,
    val expected: String,
) {
    val zones: Map<VmId, ZoneId> get() = (members + standby).associate { vmOf(it) to ZoneId(zoneOf(it)) }

    fun vmOf(text: String): VmId = VmId(text.dropLast(1))

    private fun zoneOf(text: String): String = text.takeLast(1)

    override fun toString(): String = name
}
