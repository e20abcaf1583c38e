package org.buckthornhub.lease

/** What the holding side of a daemon is told. */
public sealed interface HolderMessage {
    /**
     * Time to renew, or something has changed.
     *
     * @property wanted terms of the groups whose primary this daemon owns and reaches
     * @property reports every target that this daemon owns
     */
    public data class Renew(
        val wanted: List<GroupTerm>,
        val reports: List<TargetReport>,
    ) : HolderMessage

    /** The control leader has answered. */
    public data class Answered(val response: RenewResponse) : HolderMessage

    /** Request [sequence] got no answer. */
    public data class Unanswered(val sequence: Long) : HolderMessage
}
