package org.buckthornhub.instancepool.waiting

/**
 * What limits the wait of a statement for a connection. All times are local monotonic ms.
 *
 * @property operationMillis time at which the operation began, which a retry of a statement does not change
 * @property attemptMillis time at which this attempt began
 * @property objectiveMillis latency objective of the operation
 * @property timeoutMillis timeout of the statement
 * @property hasBegun whether the statement belongs to a transaction that has begun
 */
public data class WaitTerms(
    val operationMillis: Long,
    val attemptMillis: Long,
    val objectiveMillis: Long,
    val timeoutMillis: Long,
    val hasBegun: Boolean,
) {
    /** Longest time in ms after which a refused caller can use another attempt: an operation has failed for it after its timeout. */
    val maxReturnMillis: Long get() = maxOf(timeoutMillis / 2, MIN_WAIT_MILLIS)

    /**
     * Returns the time until which the statement may wait.
     *
     * A single statement may wait as long as its answer can still meet the objective. Refusing a transaction that has begun
     * discards work, so it may wait for half of the statement timeout, which leaves the other half for the statement itself.
     *
     * @param holdMillis expected time in ms from getting the connection to the answer
     */
    public fun deadlineMillis(holdMillis: Double): Long {
        val forObjective = objectiveMillis - holdMillis.toLong() - REPLY_TRANSIT_MILLIS
        val allowed = if (hasBegun) maxOf(forObjective, timeoutMillis / 2) else forObjective
        val wanted = maxOf(operationMillis + allowed, attemptMillis + MIN_WAIT_MILLIS)
        return minOf(wanted, attemptMillis + timeoutMillis)
    }

    private companion object {
        /** Time reserved for sending the reply to the caller. */
        const val REPLY_TRANSIT_MILLIS = 10L

        /** Enough to open a connection and make a round trip. */
        const val MIN_WAIT_MILLIS = 25L
    }
}
