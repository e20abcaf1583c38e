package org.buckthornhub.session

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId

/**
 * State of a session: the newest position in each group that it has to observe. The caller carries it in the session token,
 * so that any daemon can serve the session.
 *
 * @property uncertain groups with a write whose outcome is unknown; reads there go to the primary until one succeeds
 */
@Serializable
public data class Session(
    val organisation: OrganisationId?,
    val positions: Map<GroupId, Position> = emptyMap(),
    val uncertain: Set<GroupId> = emptySet(),
) {
    public fun positionIn(group: GroupId): Position = positions[group] ?: Position.START

    /** Returns this session after a write in [group] whose outcome is unknown. */
    public fun withUncertainWrite(group: GroupId): Session = copy(uncertain = uncertain + group)

    /** Returns this session after it observed [position] of [group]; an older position changes nothing. */
    public fun advancedTo(group: GroupId, position: Position): Session {
        val old = positionIn(group)
        val newest = if (position.term > old.term || position.term == old.term && position.index > old.index) position else old
        return copy(positions = positions + (group to newest))
    }
}
