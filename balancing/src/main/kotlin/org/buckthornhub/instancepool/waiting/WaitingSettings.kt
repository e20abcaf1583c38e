package org.buckthornhub.instancepool.waiting

/**
 * Settings of how statements wait for a connection.
 *
 * @property rejectsOnArrival whether a statement is refused on arrival if its estimated wait is too long
 * @property schedulesReturns whether refused callers are told when capacity is expected; otherwise a fixed time is used
 * @property maxWaiting number of statements that may wait in one daemon; unused unless [rejectsOnArrival]
 */
public data class WaitingSettings(
    val order: WaitingOrder = PriorityOrder,
    val rejectsOnArrival: Boolean = false,
    val schedulesReturns: Boolean = false,
    val maxWaiting: Int = DEFAULT_MAX_WAITING,
) {
    /** Whether any decision depends on measurements. */
    internal val isMeasured: Boolean get() = rejectsOnArrival || schedulesReturns || order != PriorityOrder

    public companion object {
        /** Eight times the sessions that a daemon has in a fleet of 89; waiting statements of that number take less than 1 MB. */
        private const val DEFAULT_MAX_WAITING = 256

        /** Decisions that follow the measured load. */
        public val ADAPTIVE: WaitingSettings = WaitingSettings(FairOrder, rejectsOnArrival = true, schedulesReturns = true)
    }
}
