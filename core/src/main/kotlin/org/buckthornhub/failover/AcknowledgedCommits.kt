package org.buckthornhub.failover

import kotlinx.collections.immutable.PersistentMap
import org.buckthornhub.horizon.CommitTimeline
import org.buckthornhub.target.TargetId

/**
 * Finds the replicas that hold every acknowledged commit of a group whose primary acknowledges a commit once some replicas have
 * received it.
 *
 * If n replicas can have received a commit and s of them had to, each set of n - s + 1 replicas contains one that did. A replica that
 * is as far as all the others of such a set therefore holds every acknowledged commit.
 */
internal object AcknowledgedCommits {
    /** Returns the number of replicas that have to answer, of [replicas], if [syncReplicas] have received each acknowledged commit. */
    fun answersNeeded(replicas: Int, syncReplicas: Int): Int = (replicas - syncReplicas + 1).coerceAtLeast(1)

    /** Returns the instances of [answers] that hold every acknowledged commit, if any [needed] answers include a holder of each. */
    fun holdersOfAll(answers: PersistentMap<TargetId, InstanceStatus>, needed: Int): Set<TargetId> =
        answers.keys.filter { candidate -> isAtLeast(candidate, answers) >= needed }.toSet()

    // The number of instances, with the candidate itself, that have certainly received nothing beyond the candidate.
    private fun isAtLeast(candidate: TargetId, answers: PersistentMap<TargetId, InstanceStatus>): Int {
        val reached = answers.getValue(candidate).received
        return answers.count { (target, status) ->
            target == candidate || status.isComplete && CommitTimeline.compare(status.received, reached) <= 0
        }
    }
}
