package org.buckthornhub.promotion

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId

/**
 * A change of the primary of [group] that is under way; there is at most one for each group.
 *
 * @property expected term that is replaced
 * @property fencedMillis since when nobody counts on a lease of the old term; positions asked for earlier say nothing
 * @property wanted replica that an operator chose, if any
 * @property chosen what is, or is about to be, committed
 * @property stepMillis when the present step was last tried
 */
public data class Promotion(
    val group: GroupId,
    val reason: PromotionReason,
    val expected: Term,
    val step: Step,
    val sinceMillis: Long,
    val stepMillis: Long = sinceMillis,
    val fencedMillis: Long? = null,
    val wanted: TargetId? = null,
    val chosen: GroupLeadership? = null,
    val reply: MoveReply? = null,
) {
    /** True if the old primary still works, so that the new one can be given everything. */
    public val isPlanned: Boolean get() = reason == PromotionReason.OPERATOR || reason == PromotionReason.LEAVING

    /** What is being waited for. */
    public enum class Step {
        /** Nobody may count on a lease of the old term. */
        FENCE,

        /** Positions of the other instances. */
        SURVEY,

        /** A majority of the control quorum. */
        COMMIT,

        /** The chosen target itself. */
        ORDER,
    }
}
