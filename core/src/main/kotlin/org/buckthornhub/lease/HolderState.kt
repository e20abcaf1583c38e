package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/**
 * What the holding side of one daemon remembers.
 *
 * @property drainedAtMillis when a lease that is being handed back has no more writes in flight
 * @property released leases given up, until the control leader has acknowledged it
 * @property barred requests up to this number may not grant the group any more
 * @property sentMillis when each request that waits for its answer was sent
 * @property reported last report of each target that the control leader has acknowledged
 */
public data class HolderState(
    val holder: HolderId,
    val held: HeldLeases = HeldLeases(),
    val drainedAtMillis: PersistentMap<GroupId, Long> = persistentMapOf(),
    val released: PersistentMap<GroupId, Term> = persistentMapOf(),
    val barred: PersistentMap<GroupId, Long> = persistentMapOf(),
    val sentMillis: PersistentMap<Long, Long> = persistentMapOf(),
    val sentReports: PersistentMap<Long, List<TargetReport>> = persistentMapOf(),
    val reported: PersistentMap<TargetId, TargetReport> = persistentMapOf(),
    val nextSequence: Long = 1,
    val controlTerm: Long = 0,
)
