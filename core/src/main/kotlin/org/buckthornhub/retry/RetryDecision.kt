package org.buckthornhub.retry

/** Action after a failed attempt. */
public sealed interface RetryDecision {
    /** Return the error to the caller. */
    public data object GiveUp : RetryDecision

    /** Route the operation again after [delayMillis]; [isTargetAvoided] excludes the target of the failed attempt. */
    public data class Retry(
        val delayMillis: Long,
        val isTargetAvoided: Boolean,
    ) : RetryDecision
}
