package org.buckthornhub.session

import kotlinx.serialization.Serializable
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position
import org.buckthornhub.organisation.OrganisationId

/**
 * What a session has to see: its last position in each group. The caller carries it, so any daemon can serve it.
 *
 * @property uncertain groups with a write whose outcome was not known; the next read there goes to the primary
 */
@Serializable
public data class Session(
    val organisation: OrganisationId?,
    val positions: Map<GroupId, Position> = emptyMap(),
    val uncertain: Set<GroupId> = emptySet(),
) {
    public fun positionIn(group: GroupId): Position = positions[group] ?: Position.START

    /** This session after a write in [group] whose outcome is not known. */
    public fun uncertainIn(group: GroupId): Session = copy(uncertain = uncertain + group)

    /** This session after it saw [position] of [group]; a session never goes back. */
    public fun advancedTo(group: GroupId, position: Position): Session {
        val old = positionIn(group)
        val newest = if (position.term > old.term || position.term == old.term && position.index > old.index) position else old
        return copy(positions = positions + (group to newest))
    }
}
