package org.buckthornhub.connection

import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseRoute

/**
 * An operation that may go on: where it leads, and on whose behalf.
 *
 * @property receivedMillis when its statement was read, or when the last target refused it (local monotonic ms)
 */
internal data class Admission(
    val route: DatabaseRoute,
    val organisation: OrganisationId,
    val receivedMillis: Long,
) {
    /** The same for a statement that is read, or tried again, at [nowMillis]. */
    fun at(nowMillis: Long): Admission = copy(receivedMillis = nowMillis)

    /** When a session that no target was found for is refused; later refusals come too late to be of use. */
    val offerByMillis: Long
        get() = receivedMillis + maxOf(route.objectiveMillis / WAIT_DIVISOR - ANSWER_MILLIS, SHORTEST_WAIT_MILLIS)

    /** How long one of several targets may take for a read before another one is tried; in ms. */
    val attemptMillis: Long get() = minOf(route.statementTimeoutMillis, maxOf(route.objectiveMillis / 2, SHORTEST_ATTEMPT_MILLIS))

    private companion object {
        /** A quarter of the objective. */
        const val WAIT_DIVISOR = 4

        /** For the answer on its way to the caller. */
        const val ANSWER_MILLIS = 10L

        /** A new connection and a round trip. */
        const val SHORTEST_WAIT_MILLIS = 25L

        /** Statements that wait for a slot and are slow besides take about this long. */
        const val SHORTEST_ATTEMPT_MILLIS = 150L
    }
}
