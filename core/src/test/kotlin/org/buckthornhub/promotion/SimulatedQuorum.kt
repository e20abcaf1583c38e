package org.buckthornhub.promotion

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term

/** Model of the replicated log: one leader for each control term, and one order of commits. */
internal class SimulatedQuorum(private val onCommit: (GroupLeadership) -> Unit) {
    var leader: Int = 0
        private set
    var controlTerm: Long = 0
        private set
    var committed: GroupLeadership? = null
        private set

    fun elect(index: Int) {
        leader = index
        controlTerm += 1
    }

    fun isLeader(index: Int, term: Long): Boolean = leader == index && controlTerm == term

    fun leaderships(): Map<GroupId, GroupLeadership> = listOfNotNull(committed).associateBy { it.group }

    /** Commits [command]; returns null if [index] no longer leads in [term]. */
    fun commit(index: Int, term: Long, command: ControlCommand.SetLeadership): CommandOutcome? {
        if (!isLeader(index, term)) return null
        if ((committed?.term ?: Term.NONE) != command.expected) return CommandOutcome.Conflict("$committed")
        committed = command.leadership
        onCommit(command.leadership)
        return CommandOutcome.Accepted(revision = 1)
    }
}
