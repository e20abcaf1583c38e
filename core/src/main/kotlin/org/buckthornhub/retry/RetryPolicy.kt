package org.buckthornhub.retry

import org.buckthornhub.group.GroupId

/** Decides whether a failed attempt is followed by another one. */
public interface RetryPolicy {
    /** Counts a request; called once before its first attempt. */
    public fun started(group: GroupId)

    public suspend fun decide(failed: FailedAttempt): RetryDecision

    public companion object {
        /** The naive policy, a baseline for tests: one attempt. */
        public val NONE: RetryPolicy =
            object : RetryPolicy {
                override fun started(group: GroupId) {}

                override suspend fun decide(failed: FailedAttempt): RetryDecision = RetryDecision.GiveUp
            }
    }
}
