package org.buckthornhub.lease

/** Messages handled by [HolderDecider]. */
public sealed interface HolderMessage {
    /**
     * Starts a renewal: periodically, and whenever the reports or the leaderships change.
     *
     * @property wanted terms of the groups whose primary this daemon owns and can reach
     * @property reports reports of every target that this daemon owns
     */
    public data class Renew(
        val wanted: List<GroupTerm>,
        val reports: List<TargetReport>,
    ) : HolderMessage

    /** Answer of the control leader to a renewal. */
    public data class Answered(val response: RenewResponse) : HolderMessage

    /** Request [sequence] failed or timed out. */
    public data class Unanswered(val sequence: Long) : HolderMessage
}
