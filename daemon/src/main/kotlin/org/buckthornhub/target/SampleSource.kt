package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample

/** Gives samples of where the primary of a group was when. */
internal fun interface SampleSource {
    /** Samples after [after] in local time, never younger than they are; empty if the owner of the primary can't be reached. */
    suspend fun samplesOf(group: GroupId, after: Position?): PersistentList<PositionSample>
}
