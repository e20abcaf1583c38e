package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** One instance of the simulated group, which replicates from [follows]. */
internal data class SimulatedTarget(
    val id: TargetId,
    val role: TargetRole,
    val term: Term = Term(1),
    val received: Long = 0,
    val follows: TargetId,
    val isAlive: Boolean = true,
) {
    fun report(): TargetReport = TargetReport(id, GROUP, id.value, role, term, LogPosition(received), reachable = isAlive)

    fun replicated(primary: SimulatedTarget): SimulatedTarget {
        val isUsable =
            role == TargetRole.REPLICA && isAlive && primary.isAlive && primary.role == TargetRole.PRIMARY && primary.term >= term
        return if (isUsable) copy(term = primary.term, received = primary.received) else this
    }

    fun promoted(newTerm: Term): SimulatedTarget = if (isAlive && newTerm > term) copy(role = TargetRole.PRIMARY, term = newTerm) else this

    fun followed(newTerm: Term, primary: TargetId, termStart: Long): SimulatedTarget {
        val isTaken = isAlive && (newTerm > term || newTerm == term && role == TargetRole.REPLICA)
        if (!isTaken) return this
        // Entries beyond the start of a newer term are of an older one; a repeat of the order must cut nothing.
        val kept = if (newTerm > term) minOf(received, termStart - 1) else received
        return copy(role = TargetRole.REPLICA, term = newTerm, follows = primary, received = kept)
    }

    companion object {
        val GROUP = GroupId("ledger")
    }
}
