package org.buckthornhub.fleet

import org.buckthornhub.target.TargetEntry
import java.security.MessageDigest
import java.util.HexFormat

/** Rendezvous hashing over the live daemons of the target's zone: losing a daemon reassigns only its own targets. */
public class RendezvousOwnerPolicy : OwnerPolicy {
    override fun ownerOf(target: TargetEntry, view: FleetView): VmId? =
        view.liveDaemonsOf(target.zone).maxWithOrNull(compareBy({ weight(it.vm, target) }, { it.vm.value }))?.vm

    private fun weight(vm: VmId, target: TargetEntry): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("${vm.value}/${target.target.value}".toByteArray())
        return HexFormat.of().formatHex(digest)
    }
}
