package org.buckthornhub.promotion

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.RenewRequest
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId

/** Messages handled by [PromotionDecider]. */
public sealed interface PromotionMessage {
    /** Periodic tick with the state of the control quorum; [leaderships] holds every committed leadership. */
    public data class Tick(
        val control: ControlLeadership,
        val leaderships: Map<GroupId, GroupLeadership>,
    ) : PromotionMessage

    /**
     * Renewal request of a daemon, after a majority has confirmed that this VM leads in [controlTerm].
     *
     * @property confirmedFromMillis when that confirmation started, after the request had arrived
     * @property leaderships every committed leadership, read after the confirmation
     */
    public data class Renewed(
        val request: RenewRequest,
        val controlTerm: Long,
        val confirmedFromMillis: Long,
        val leaderships: Map<GroupId, GroupLeadership>,
        val reply: RenewReply,
    ) : PromotionMessage

    /** Answers to the survey of [group] that started at [askedMillis], for the promotion that replaces term [expected]. */
    public data class Surveyed(
        val group: GroupId,
        val expected: Term,
        val askedMillis: Long,
        val answers: List<TargetReport>,
    ) : PromotionMessage

    /** Result of a commit; [outcome] is null if it is unknown. */
    public data class Committed(
        val leadership: GroupLeadership,
        val outcome: CommandOutcome?,
    ) : PromotionMessage

    /** Answer to a promotion order; [isDone] is true if the target leads its group in the committed term. */
    public data class Ordered(
        val leadership: GroupLeadership,
        val isDone: Boolean,
    ) : PromotionMessage

    /** Request of an operator to make [target] the primary of [group]. */
    public data class Move(
        val group: GroupId,
        val target: TargetId,
        val reply: MoveReply,
    ) : PromotionMessage
}
