package org.buckthornhub.failover

import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Promotes instances through the platform that runs them. */
public fun interface InstancePromoter {
    /**
     * Promotes [target] to primary of [group].
     *
     * @param holder control leader that requests the promotion
     * @param fence fencing token, which grows with each holder and each new order; an order with a lower token than an earlier one
     * must be refused
     */
    public suspend fun promote(group: GroupId, target: TargetId, holder: VmId, fence: Long): PromotionOutcome
}
