package org.buckthornhub.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.fleet.FleetView
import org.buckthornhub.fleet.StateSource
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink

/** Links of one task to other daemons, opened on first use and replaced when the address of a daemon changes. */
internal class DaemonLinks(
    private val view: StateSource<FleetView>,
    private val factory: HttpLink.Factory,
) : AutoCloseable {
    private var links: PersistentMap<VmId, PeerLink> = persistentMapOf()

    /** Returns the link to the daemon on [vm], or null if none is known. */
    fun to(vm: VmId): HttpLink? {
        val address = view.current().daemons[vm]?.address ?: return null
        val known = links[vm]
        if (known?.address == address) return known.link
        known?.link?.close()
        return factory.open(address).also { links = links.put(vm, PeerLink(address, it)) }
    }

    override fun close(): Unit = links.values.forEach { it.link.close() }
}
