package org.buckthornhub.session

import org.buckthornhub.group.Position
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation
import org.buckthornhub.statement.isRead

/**
 * Decides which position an operation has to observe, and how an answer advances the session.
 *
 * @property isMonotonic true for monotonic reads in addition to read-your-writes; lagging replicas then serve fewer reads
 */
public data class SessionPolicy(val isMonotonic: Boolean = false) {
    /** Returns the oldest position that the target of [operation] has to have applied. */
    public fun requiredPosition(session: Session, operation: Operation): Position = session.positionIn(operation.group)

    /** Returns [session] advanced by [answer]: by writes, by monotonic reads, and by a primary read that settles an unknown outcome. */
    public fun advance(session: Session, operation: Operation, answer: Answer): Session {
        val group = operation.group
        val settlesOutcome = group in session.uncertain && operation.isRead() && !answer.fromReplica
        val isWrite = operation is Operation.Commit || operation is Operation.Run && !operation.isRead()
        val advanced = if (isWrite || isMonotonic || settlesOutcome) session.advancedTo(group, answer.position) else session
        return if (settlesOutcome) advanced.copy(uncertain = advanced.uncertain - group) else advanced
    }
}
