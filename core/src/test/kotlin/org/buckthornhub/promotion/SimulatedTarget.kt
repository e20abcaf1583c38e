package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Instance of the simulated group, which replicates from [replicatesFrom]. */
internal data class SimulatedTarget(
    val id: TargetId,
    val role: TargetRole,
    val term: Term = Term(1),
    val received: Long = 0,
    val replicatesFrom: TargetId,
    val isAlive: Boolean = true,
) {
    fun report(): TargetReport = TargetReport(id, GROUP, id.value, role, term, LogPosition(received), reachable = isAlive)

    fun replicated(primary: SimulatedTarget): SimulatedTarget {
        val canReplicate =
            role == TargetRole.REPLICA && isAlive && primary.isAlive && primary.role == TargetRole.PRIMARY && primary.term >= term
        return if (canReplicate) copy(term = primary.term, received = primary.received) else this
    }

    fun promoted(newTerm: Term): SimulatedTarget = if (isAlive && newTerm > term) copy(role = TargetRole.PRIMARY, term = newTerm) else this

    fun followed(newTerm: Term, primary: TargetId, termStart: Long): SimulatedTarget {
        val isAccepted = isAlive && (newTerm > term || newTerm == term && role == TargetRole.REPLICA)
        if (!isAccepted) return this
        // Entries beyond the start of a newer term belong to an older one; a repeated order must not truncate the log again.
        val kept = if (newTerm > term) minOf(received, termStart - 1) else received
        return copy(role = TargetRole.REPLICA, term = newTerm, replicatesFrom = primary, received = kept)
    }

    companion object {
        val GROUP = GroupId("ledger")
    }
}
