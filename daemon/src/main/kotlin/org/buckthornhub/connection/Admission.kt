package org.buckthornhub.connection

import org.buckthornhub.instancepool.waiting.WaitTerms
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseRoute

/**
 * An admitted operation: its route and the organisation that it runs for.
 *
 * @property caller by which the organisation is looked up again after a wait
 * @property operationMillis local monotonic time at which the operation began, which retries do not change
 * @property hasBegun whether it is the first statement of a transaction that has begun
 * @property receivedMillis local monotonic time at which the statement was received or, for a retry, at which the attempt began
 */
internal data class Admission(
    val route: DatabaseRoute,
    val organisation: OrganisationId,
    val caller: CallerIdentity,
    val receivedMillis: Long,
    val operationMillis: Long = receivedMillis,
    val hasBegun: Boolean = false,
) {
    /** What limits the wait for a connection where it follows the measured load. */
    val waitTerms: WaitTerms
        get() = WaitTerms(operationMillis, receivedMillis, route.objectiveMillis, route.statementTimeoutMillis, hasBegun)

    /** Returns this admission for the first statement of a transaction, received at [nowMillis]. */
    fun begunAt(nowMillis: Long): Admission = copy(receivedMillis = nowMillis, operationMillis = nowMillis, hasBegun = true)

    /** Returns this admission for a statement that is received, or retried, at [nowMillis]. */
    fun at(nowMillis: Long): Admission = copy(receivedMillis = nowMillis)

    /** Deadline for acquiring a target connection, in local monotonic ms; a refusal after it would come too late to be useful. */
    val acquireDeadlineMillis: Long
        get() = receivedMillis + maxOf(route.objectiveMillis / WAIT_DIVISOR - REPLY_TRANSIT_MILLIS, MIN_WAIT_MILLIS)

    /** Timeout of one attempt in ms, after which a read is retried on another target. */
    val attemptMillis: Long get() = minOf(route.statementTimeoutMillis, maxOf(route.objectiveMillis / 2, MIN_ATTEMPT_MILLIS))

    private companion object {
        /** Acquiring a connection may take a quarter of the objective. */
        const val WAIT_DIVISOR = 4

        /** Time reserved for sending the reply to the caller. */
        const val REPLY_TRANSIT_MILLIS = 10L

        /** Enough to open a connection and make a round trip. */
        const val MIN_WAIT_MILLIS = 25L

        /** About the duration of a slow statement that also waits for a slot. */
        const val MIN_ATTEMPT_MILLIS = 150L
    }
}
