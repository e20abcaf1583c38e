package org.buckthornhub.horizon

import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Messages handled by [HorizonTask]. */
internal sealed interface HorizonMessage {
    /** The primary of [group] reported a position. */
    data class Observed(
        val group: GroupId,
        val sample: CommitSample,
    ) : HorizonMessage

    /** A session needs a more recent sample of [group]. */
    data class Needed(val group: GroupId) : HorizonMessage

    /** The probe of the primary of [group] has ended. */
    data class ProbeEnded(
        val group: GroupId,
        val isAnswered: Boolean,
    ) : HorizonMessage

    /** The instance of each group that claims to be its primary. */
    data class Leaders(val leaders: Map<GroupId, TargetId>) : HorizonMessage

    data object Tick : HorizonMessage
}
