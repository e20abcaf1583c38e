package org.buckthornhub.instancepool.waiting

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.organisation.OrganisationId

/** What [FairOrder] remembers of the statements that it has served, by group. */
public data class ServiceProgress(val groups: PersistentMap<GroupId, GroupProgress> = persistentMapOf()) {
    internal fun of(group: GroupId): GroupProgress = groups[group] ?: GroupProgress()

    internal fun with(group: GroupId, progress: GroupProgress): ServiceProgress = copy(groups = groups.put(group, progress))

    /** Corrects the time that was charged to [organisation] in advance by [extraMillis], which may be negative. */
    internal fun corrected(group: GroupId, organisation: OrganisationId, extraMillis: Double): ServiceProgress {
        val known = groups[group] ?: return this
        val used = known.usedMillis[organisation] ?: return this
        return with(group, known.copy(usedMillis = known.usedMillis.put(organisation, used + extraMillis)))
    }
}
