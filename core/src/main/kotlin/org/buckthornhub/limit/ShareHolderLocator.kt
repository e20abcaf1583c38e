package org.buckthornhub.limit

import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.organisation.OrganisationId
import java.security.MessageDigest
import java.util.HexFormat

/** Finds the daemon of a zone that mints an organisation's share there, by rendezvous hashing; a wrong one holds nothing. */
public class ShareHolderLocator {
    /** Null if no daemon of [zone] is alive. */
    public fun holderOf(organisation: OrganisationId, zone: ZoneId, view: FleetView): VmId? =
        view.liveDaemonsOf(zone).maxWithOrNull(compareBy({ weight(it.vm, organisation) }, { it.vm.value }))?.vm

    /** Zones with live daemons, [own] first. */
    public fun zonesOf(view: FleetView, own: ZoneId): List<ZoneId> {
        val others = view.daemons.values.map { it.zone }.filter { it != own }.distinct().sortedBy { it.value }
        return listOf(own) + others.filter { view.liveDaemonsOf(it).isNotEmpty() }
    }

    private fun weight(vm: VmId, organisation: OrganisationId): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("${vm.value}/${organisation.value}".toByteArray())
        return HexFormat.of().formatHex(digest)
    }
}
