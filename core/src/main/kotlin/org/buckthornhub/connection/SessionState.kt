package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position

/**
 * What a session was promised, apart from any target connection.
 *
 * @property values set by the session, by name
 * @property prepared statements of the session, by its own names
 * @property commits newest commit of the session in each group
 */
public data class SessionState(
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentMap<String, PreparedStatement> = persistentMapOf(),
    val transaction: TransactionState = TransactionState.None,
    val commits: PersistentMap<GroupId, Position> = persistentMapOf(),
) {
    /** This session after [position] of [group] was acknowledged to it. */
    public fun committed(group: GroupId, position: Position): SessionState = copy(commits = commits.put(group, position))
}
