package org.buckthornhub.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.Position

/**
 * State of a session, independent of the target connections that it uses.
 *
 * @property values set by the session, by name
 * @property prepared statements of the session, by the names that it uses
 * @property commits position of the newest commit of the session in each group
 */
public data class SessionState(
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentMap<String, PreparedStatement> = persistentMapOf(),
    val transaction: TransactionState = TransactionState.None,
    val commits: PersistentMap<GroupId, Position> = persistentMapOf(),
) {
    /** Returns this state with [position] as the newest acknowledged commit in [group]. */
    public fun committed(group: GroupId, position: Position): SessionState = copy(commits = commits.put(group, position))
}
