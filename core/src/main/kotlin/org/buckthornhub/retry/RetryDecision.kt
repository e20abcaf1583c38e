package org.buckthornhub.retry

/** What follows a failed attempt. */
public sealed interface RetryDecision {
    /** The caller gets the error. */
    public data object GiveUp : RetryDecision

    /** Routes anew after [delayMillis]; [isTargetAvoided] leaves out the target of the failed attempt. */
    public data class Again(
        val delayMillis: Long,
        val isTargetAvoided: Boolean,
    ) : RetryDecision
}
