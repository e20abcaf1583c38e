package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.lease.TargetReport

/** Chooses the next primary of a group. */
public fun interface CandidatePolicy {
    /**
     * Null if no instance that answered is safe to promote.
     *
     * @param current who leads now
     * @param answers the instances that answered since nobody counts on a lease any more, without lost entries
     * @param instances number of instances of the group
     */
    public fun choose(promotion: Promotion, current: GroupLeadership, answers: List<TargetReport>, instances: Int): TargetReport?
}
