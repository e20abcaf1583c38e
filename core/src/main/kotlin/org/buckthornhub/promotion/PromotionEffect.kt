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

/** What the deciding side of leases and promotions asks its task to do. */
public sealed interface PromotionEffect {
    /** Answers a renewal. */
    public data class Answer(
        val reply: RenewReply,
        val response: RenewResponse,
    ) : PromotionEffect

    /** Answers an operator. */
    public data class AnswerMove(
        val reply: MoveReply,
        val result: Result<GroupLeadership, ProxyError>,
    ) : PromotionEffect

    /** Asks [targets] for their state after [delayMillis]; the answers come as [PromotionMessage.Surveyed]. */
    public data class Survey(
        val group: GroupId,
        val expected: Term,
        val askedMillis: Long,
        val targets: List<TargetReport>,
        val delayMillis: Long = 0,
    ) : PromotionEffect

    /** Has the control quorum commit [command]. */
    public data class Commit(val command: ControlCommand.SetLeadership) : PromotionEffect

    /** Orders the primary of [leadership] at [address] to lead; repeating it changes nothing. */
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

    /** Tells the daemon on [vm] that it may ask for the lease of [leadership] at once. */
    public data class Offer(
        val vm: VmId,
        val leadership: GroupLeadership,
    ) : PromotionEffect
}
