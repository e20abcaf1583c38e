package org.buckthornhub.session

import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.isRead

/**
 * What a session has to see, and how answers move it on.
 *
 * @property isMonotonic true if a session also never sees older data than it has read; costs reads at replicas that lag
 */
public data class SessionPolicy(val isMonotonic: Boolean = false) {
    /** The position that [operation] has to see. */
    public fun neededBy(session: Session, operation: Operation): Position = session.positionIn(operation.group)

    /** [session] after [answer]: its own writes move it on, and reads if it is monotonic or in doubt of a write. */
    public fun after(session: Session, operation: Operation, answer: Answer): Session {
        val group = operation.group
        val isSettling = group in session.uncertain && operation.isRead() && !answer.fromReplica
        val isWrite = operation is Operation.Commit || operation is Operation.Run && !operation.isRead()
        val moved = if (isWrite || isMonotonic || isSettling) session.advancedTo(group, answer.position) else session
        return if (isSettling) moved.copy(uncertain = moved.uncertain - group) else moved
    }
}
