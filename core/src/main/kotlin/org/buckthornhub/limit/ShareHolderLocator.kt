package org.buckthornhub.limit

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Locates the holder of an organisation's share in each zone, by rendezvous hashing over the live daemons.
 *
 * With different fleet views the results may differ; a daemon that is not the holder has no lease and grants nothing.
 */
public class ShareHolderLocator {
    /** Returns the holder, or null if no daemon of [zone] is alive. */
    public fun holderOf(organisation: OrganisationId, zone: ZoneId, view: FleetView): VmId? =
        view.liveDaemonsOf(zone).maxWithOrNull(compareBy({ weight(it.vm, organisation) }, { it.vm.value }))?.vm

    /** Returns the zones with live daemons, always with [own] as the first one. */
    public fun zonesOf(view: FleetView, own: ZoneId): List<ZoneId> {
        val others = view.daemons.values.map { it.zone }.filter { it != own }.distinct().sortedBy { it.value }
        return listOf(own) + others.filter { view.liveDaemonsOf(it).isNotEmpty() }
    }

    private fun weight(vm: VmId, organisation: OrganisationId): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("${vm.value}/${organisation.value}".toByteArray())
        return HexFormat.of().formatHex(digest)
    }
}
