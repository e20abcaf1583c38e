package org.buckthornhub.promotion

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.lease.TargetReport

/** Chooses the next primary of a group. */
public fun interface CandidatePolicy {
    /**
     * Returns null if none of the instances that answered is safe to promote.
     *
     * @param current committed leadership that is to be replaced
     * @param answers reports taken after the last lease of the old term had ended, without entries that a newer term discarded
     * @param groupSize number of instances of the group
     */
    public fun choose(promotion: Promotion, current: GroupLeadership, answers: List<TargetReport>, groupSize: Int): TargetReport?
}
