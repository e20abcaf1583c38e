package org.buckthornhub.promotion

import org.buckthornhub.control.CommandOutcome
import org.buckthornhub.control.ControlLeadership
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.RenewRequest
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId

/** What the task that grants leases and promotes primaries is told. */
public sealed interface PromotionMessage {
    /** Time has passed; [leaderships] are all that is committed. */
    public data class Tick(
        val control: ControlLeadership,
        val leaderships: Map<GroupId, GroupLeadership>,
    ) : PromotionMessage

    /**
     * A daemon renews, and a majority has confirmed that this VM leads in [controlTerm].
     *
     * @property confirmedFromMillis when that confirmation began, after the request had come
     * @property leaderships all that is committed, read after the confirmation
     */
    public data class Renewed(
        val request: RenewRequest,
        val controlTerm: Long,
        val confirmedFromMillis: Long,
        val leaderships: Map<GroupId, GroupLeadership>,
        val reply: RenewReply,
    ) : PromotionMessage

    /** The instances of [group] that answered a survey which began at [askedMillis], for the promotion out of term [expected]. */
    public data class Surveyed(
        val group: GroupId,
        val expected: Term,
        val askedMillis: Long,
        val answers: List<TargetReport>,
    ) : PromotionMessage

    /** What became of a commit; [outcome] is null if that is not known. */
    public data class Committed(
        val leadership: GroupLeadership,
        val outcome: CommandOutcome?,
    ) : PromotionMessage

    /** Whether the chosen target leads its group in the committed term. */
    public data class Ordered(
        val leadership: GroupLeadership,
        val isDone: Boolean,
    ) : PromotionMessage

    /** An operator wants [target] to lead [group]. */
    public data class Move(
        val group: GroupId,
        val target: TargetId,
        val reply: MoveReply,
    ) : PromotionMessage
}
