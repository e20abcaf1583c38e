package org.buckthornhub.connection

import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.routetable.DatabaseRoute

/** An operation that may go on: where it leads, and on whose behalf. */
internal data class Admission(
    val route: DatabaseRoute,
    val organisation: OrganisationId,
) {
    /** How long a session may wait without an offer to a target; later refusals come too late to be of use. In ms. */
    val waitMillis: Long get() = maxOf(route.objectiveMillis / WAIT_DIVISOR, SHORTEST_WAIT_MILLIS)

    /** How long one of several targets may take for a read before another one is tried; in ms. */
    val attemptMillis: Long get() = minOf(route.statementTimeoutMillis, maxOf(route.objectiveMillis / 2, SHORTEST_ATTEMPT_MILLIS))

    private companion object {
        /** A quarter of the objective. */
        const val WAIT_DIVISOR = 4

        /** A new connection and a round trip. */
        const val SHORTEST_WAIT_MILLIS = 30L

        /** Statements that wait for a slot and are slow besides take about this long. */
        const val SHORTEST_ATTEMPT_MILLIS = 150L
    }
}
