package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.directory.InstanceRecord

/**
 * Addresses at which a group has had instances. The log of an instance that ends is passed to its successor at the same address, so
 * that a vacant address stands for commits that no running instance may have.
 *
 * @property occupied addresses of the instances in the directory
 * @property vacantSinceMillis time from which each of the other addresses has had no instance (local monotonic ms)
 */
public data class KnownAddresses(
    val occupied: Set<String> = emptySet(),
    val vacantSinceMillis: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Updates the addresses from [all] instances in the directory, of which [own] belong to the group. */
    internal fun with(own: List<InstanceRecord>, all: Collection<InstanceRecord>, nowMillis: Long): KnownAddresses {
        val current = own.map { it.address }.toSet()
        if (current == occupied && vacantSinceMillis.isEmpty()) return this
        val vacated = (occupied - current).fold(vacantSinceMillis) { vacant, address -> vacant.put(address, nowMillis) }
        val inUse = all.map { it.address }.toSet()
        val ended = vacated.filter { (address, sinceMillis) -> address in inUse || nowMillis - sinceMillis > VACANT_MILLIS }.keys
        return KnownAddresses(current, ended.fold(vacated) { vacant, address -> vacant.remove(address) })
    }

    private companion object {
        /** Time after which an address that stays vacant is given up; a successor starts within seconds. In ms. */
        const val VACANT_MILLIS = 60_000L
    }
}
