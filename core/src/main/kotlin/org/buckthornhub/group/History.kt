package org.buckthornhub.group

/** Compares positions across terms, by the starts of terms that the control quorum has committed. */
public class History(private val leadership: GroupLeadership?) {
    /** True if a write at [position] is in no surviving history: a newer term began at or before it. */
    public fun isLost(position: Position): Boolean {
        val starts = leadership ?: return false
        if (position == Position.START) return false
        val isBeyondCurrent = starts.term > position.term && position.index >= starts.termStart
        return isBeyondCurrent || starts.earlierStarts.any { (term, start) -> term > position.term && position.index >= start }
    }

    /** True if data at [held] contains every surviving write up to [wanted]. */
    public fun contains(held: Position, wanted: Position): Boolean = when {
        wanted == Position.START -> true
        isLost(wanted) || held.term < wanted.term -> false
        // Without the start of the newer term, equal indexes may name different writes.
        held.term > wanted.term && !isStartKnown(held.term) -> false
        else -> held.index >= wanted.index
    }

    /** True if [held] is of a term that was replaced, so that its data may hold writes that were lost. */
    public fun isReplaced(held: Term): Boolean = leadership != null && held < leadership.term

    private fun isStartKnown(term: Term): Boolean =
        leadership != null && (leadership.term == term || leadership.earlierStarts.containsKey(term))
}
