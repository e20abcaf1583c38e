package org.buckthornhub.horizon

import org.buckthornhub.coordination.ClockReading
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.target.TargetId

/** Messages handled by [CommitTimelineTask]. */
internal sealed interface CommitTimelineMessage {
    /** The primary of [group] answered a statement that was sent at [sentAt] and reported [position]. */
    data class Observed(
        val group: GroupId,
        val sentAt: ClockReading,
        val position: Position,
    ) : CommitTimelineMessage

    /** Other daemons have shared positions. */
    data class Shared(val samples: Map<GroupId, CommitSample>) : CommitTimelineMessage

    /** This VM was suspended since the last message of this kind; what was learned before counts no more. */
    data object Suspended : CommitTimelineMessage

    /** The groups whose primaries this daemon asks regularly have changed. */
    data class ProbedGroups(val groups: Set<GroupId>) : CommitTimelineMessage

    /** A session needs a more recent sample of [group]. */
    data class Needed(val group: GroupId) : CommitTimelineMessage

    /** The probe of the primary of [group] has ended. */
    data class ProbeEnded(
        val group: GroupId,
        val isAnswered: Boolean,
    ) : CommitTimelineMessage

    /** The instance of each group that claims to be its primary. */
    data class PrimariesChanged(val primaries: Map<GroupId, TargetId>) : CommitTimelineMessage

    data object Tick : CommitTimelineMessage
}
