package org.buckthornhub.promotion

import com.github.michaelbull.result.Result
import org.buckthornhub.control.ControlCommand
import org.buckthornhub.error.ProxyError
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term
import org.buckthornhub.lease.RenewResponse
import org.buckthornhub.lease.TargetReport
import org.buckthornhub.target.TargetId

/** Effects that [PromotionDecider] requests from its task. */
public sealed interface PromotionEffect {
    /** Answers the renewal request of a daemon. */
    public data class Answer(
        val reply: RenewReply,
        val response: RenewResponse,
    ) : PromotionEffect

    /** Answers the operator who requested a switchover. */
    public data class AnswerMove(
        val reply: MoveReply,
        val result: Result<GroupLeadership, ProxyError>,
    ) : PromotionEffect

    /** Requests the status of [targets] after [delayMillis]; the answers arrive as [PromotionMessage.Surveyed]. */
    public data class Survey(
        val group: GroupId,
        val expected: Term,
        val askedMillis: Long,
        val targets: List<TargetReport>,
        val delayMillis: Long = 0,
    ) : PromotionEffect

    /** Proposes [command] to the control quorum; the result arrives as [PromotionMessage.Committed]. */
    public data class Commit(val command: ControlCommand.SetLeadership) : PromotionEffect

    /** Orders the primary of [leadership], at [address], to lead its term. The order is idempotent. */
    public data class OrderPromotion(
        val leadership: GroupLeadership,
        val address: String,
    ) : PromotionEffect

    /** Orders the target at [address] to replicate from [primaryAddress], which leads in [term]. */
    public data class OrderFollow(
        val target: TargetId,
        val address: String,
        val term: Term,
        val primaryAddress: String,
    ) : PromotionEffect

    /** Notifies the daemon on [vm] of [leadership], so that it requests the lease at once. */
    public data class Offer(
        val vm: VmId,
        val leadership: GroupLeadership,
    ) : PromotionEffect
}
