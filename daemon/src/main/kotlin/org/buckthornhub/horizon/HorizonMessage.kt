package org.buckthornhub.horizon

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** What the task of the horizons is told. */
internal sealed interface HorizonMessage {
    /** The leader of [group] answered. */
    data class Learned(
        val group: GroupId,
        val sample: CommitSample,
    ) : HorizonMessage

    /** A session needs a newer sample of [group]. */
    data class Needed(val group: GroupId) : HorizonMessage

    /** The question to the leader of [group] is over, whatever came of it. */
    data class Asked(
        val group: GroupId,
        val isAnswered: Boolean,
    ) : HorizonMessage

    /** The instances that claim to lead each group. */
    data class Leaders(val leaders: Map<GroupId, TargetId>) : HorizonMessage

    data object Tick : HorizonMessage
}
