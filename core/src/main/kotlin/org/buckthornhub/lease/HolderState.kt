package org.buckthornhub.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/**
 * State of the leases of one daemon.
 *
 * @property drainedAtMillis when the drain of each lease that is being released ends
 * @property pendingReleases released leases whose release the control leader has not yet acknowledged
 * @property staleThrough for each released group the last request sent before the release; answers up to it grant nothing
 * @property sentMillis when each unanswered request was sent
 * @property sentReports reports in each unanswered request
 * @property acknowledgedReports last report of each target that the control leader has acknowledged
 */
public data class HolderState(
    val holder: HolderId,
    val held: HeldLeases = HeldLeases(),
    val drainedAtMillis: PersistentMap<GroupId, Long> = persistentMapOf(),
    val pendingReleases: PersistentMap<GroupId, Term> = persistentMapOf(),
    val staleThrough: PersistentMap<GroupId, Long> = persistentMapOf(),
    val sentMillis: PersistentMap<Long, Long> = persistentMapOf(),
    val sentReports: PersistentMap<Long, List<TargetReport>> = persistentMapOf(),
    val acknowledgedReports: PersistentMap<TargetId, TargetReport> = persistentMapOf(),
    val nextSequence: Long = 1,
    val controlTerm: Long = 0,
)
