package org.buckthornhub.group

/** Compares positions of different terms by means of the term starts that the control quorum has committed. */
public class History(private val leadership: GroupLeadership?) {
    /** True if the write at [position] was discarded because a newer term starts at or before its index. */
    public fun isLost(position: Position): Boolean {
        val committed = leadership ?: return false
        if (position == Position.START) return false
        val isLostByCurrentTerm = committed.term > position.term && position.index >= committed.termStart
        return isLostByCurrentTerm || committed.earlierStarts.any { (term, start) -> term > position.term && position.index >= start }
    }

    /** True if data at position [held] contains every surviving write up to [wanted]. */
    public fun contains(held: Position, wanted: Position): Boolean = when {
        wanted == Position.START -> true
        isLost(wanted) || held.term < wanted.term -> false
        // Without the start of the newer term, equal indexes may refer to different writes.
        held.term > wanted.term && !isStartKnown(held.term) -> false
        else -> held.index >= wanted.index
    }

    /** True if [held] is older than the committed term, so that data of it may contain lost writes. */
    public fun isReplaced(held: Term): Boolean = leadership != null && held < leadership.term

    private fun isStartKnown(term: Term): Boolean =
        leadership != null && (leadership.term == term || leadership.earlierStarts.containsKey(term))
}
