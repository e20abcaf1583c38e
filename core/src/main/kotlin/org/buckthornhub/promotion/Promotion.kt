package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/**
 * Change of the primary of [group] in progress; there is at most one for each group.
 *
 * @property expectedTerm term that is replaced
 * @property sinceMillis when the promotion started, or once committed, when the order step started
 * @property lastAttemptMillis when the current step was last attempted
 * @property fencedMillis time from which no lease of the old term is valid; positions requested earlier are not usable
 * @property requestedTarget replica that an operator chose, if any
 * @property newLeadership leadership to be committed, or already committed
 * @property reply request of the operator, answered when the promotion ends
 */
public data class Promotion(
    val group: GroupId,
    val reason: PromotionReason,
    val expectedTerm: Term,
    val step: Step,
    val sinceMillis: Long,
    val lastAttemptMillis: Long = sinceMillis,
    val fencedMillis: Long? = null,
    val requestedTarget: TargetId? = null,
    val newLeadership: GroupLeadership? = null,
    val reply: MoveReply? = null,
) {
    /** True for a switchover: the old primary still runs, so the new one can receive every write before it takes over. */
    public val isPlanned: Boolean get() = reason == PromotionReason.OPERATOR || reason == PromotionReason.LEAVING

    /** Steps in their order; each names what the promotion waits for. */
    public enum class Step {
        /** End of every lease of the old term. */
        FENCE,

        /** Positions of the instances of the group. */
        SURVEY,

        /** Commit of the new leadership by the control quorum. */
        COMMIT,

        /** Confirmation by the chosen target that it leads. */
        ORDER,
    }
}
