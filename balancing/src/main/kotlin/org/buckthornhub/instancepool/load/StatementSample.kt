package org.buckthornhub.instancepool.load

/**
 * Result of one statement at an instance.
 *
 * @property priority priority of its route: routes of different priorities do different work
 * @property millis time from sending it to its answer, without the pauses of the caller
 */
public data class StatementSample(
    val priority: Int,
    val millis: Long,
    val outcome: StatementOutcome,
) {
    public companion object {
        /** Stands for the priority of opened connections, whose work is the same for all routes. */
        public const val CONNECTION: Int = -1
    }
}
