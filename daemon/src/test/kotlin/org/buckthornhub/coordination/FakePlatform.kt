package org.buckthornhub.coordination

import org.buckthornhub.failover.InstancePromoter
import org.buckthornhub.failover.PromotionOutcome
import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Platform that checks the fencing token of an order when it carries it out; [answers] are those to successive orders. */
internal class FakePlatform(
    private val answers: List<PromotionOutcome>,
    private val onPromoted: (TargetId) -> Unit,
) : InstancePromoter {
    private var newestFence = 0L
    private var unanswered: List<Pair<TargetId, Long>> = emptyList()
    var orders: List<Pair<TargetId, Long>> = emptyList()
        private set
    var primary: TargetId? = null
        private set

    override suspend fun promote(group: GroupId, target: TargetId, holder: VmId, fence: Long): PromotionOutcome {
        val answer = answers[orders.size]
        orders = orders + (target to fence)
        if (answer == PromotionOutcome.UNKNOWN) unanswered = unanswered + (target to fence)
        if (answer == PromotionOutcome.DONE) carryOut(target, fence)
        return answer
    }

    /** Carries out the orders that got no answer. */
    fun catchUp(): Unit = unanswered.forEach { (target, fence) -> carryOut(target, fence) }

    private fun carryOut(target: TargetId, fence: Long) {
        if (fence < newestFence) return
        newestFence = fence
        if (primary == target) return
        primary = target
        onPromoted(target)
    }
}
