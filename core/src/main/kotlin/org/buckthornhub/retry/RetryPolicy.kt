package org.buckthornhub.retry

import org.buckthornhub.group.GroupId

/** Decides whether a failed attempt is retried. */
public interface RetryPolicy {
    /** Counts a request; called once, before its first attempt. */
    public fun started(group: GroupId)

    public suspend fun decide(failed: FailedAttempt): RetryDecision

    public companion object {
        /** Never retries; a baseline for tests. */
        public val NONE: RetryPolicy =
            object : RetryPolicy {
                override fun started(group: GroupId) {}

                override suspend fun decide(failed: FailedAttempt): RetryDecision = RetryDecision.GiveUp
            }
    }
}
