package org.buckthornhub.failover

import org.buckthornhub.fleet.VmId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId

/** Has an instance made the leader of its group by whoever runs the instances. */
public fun interface PromotionOrders {
    /** @param fence grows with each holder; an order with a lower one than was seen before has to be refused */
    public suspend fun promote(group: GroupId, target: TargetId, holder: VmId, fence: Long): PromotionOutcome
}
