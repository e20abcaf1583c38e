package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentList
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.routing.PositionSample

/** Source of timestamped log positions of the primary of a group. */
internal fun interface SampleSource {
    /** Returns samples at or after [after], in local time, never underestimating ages; empty if the primary's owner is unreachable. */
    suspend fun samplesOf(group: GroupId, after: Position?): PersistentList<PositionSample>
}
