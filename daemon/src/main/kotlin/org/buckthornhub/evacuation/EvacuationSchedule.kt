package org.buckthornhub.evacuation

/**
 * Times of the stages of an evacuation, counted from its acknowledgement.
 *
 * @param boundMillis time from which no request may reach an instance of the zone
 */
internal class EvacuationSchedule(private val boundMillis: Long) {
    /** Returns the stage of an evacuation that was acknowledged [ageMillis] ago. */
    fun stageAt(ageMillis: Long): EvacuationStage = EvacuationStage.entries.last { ageMillis >= startOf(it) }

    /** Returns the age in ms at which [stage] begins. */
    fun startOf(stage: EvacuationStage): Long = when (stage) {
        EvacuationStage.SERVING -> Long.MIN_VALUE
        // An order counts from a time before its acknowledgement, which may lie in the future of a clock that was set back.
        EvacuationStage.LEAVING -> Long.MIN_VALUE
        EvacuationStage.DRAINED -> boundMillis / 2
        EvacuationStage.ENDING -> boundMillis * ENDING_TENTHS / TENTHS
        EvacuationStage.CLOSED -> boundMillis * CLOSED_TENTHS / TENTHS
    }

    private companion object {
        const val TENTHS = 10

        /** Leaves a tenth of the bound, 500 ms by default, for rollbacks that wait for a connection or a busy event loop. */
        const val ENDING_TENTHS = 8

        /** Leaves a tenth of the bound, 500 ms by default, for what was sent to arrive. */
        const val CLOSED_TENTHS = 9
    }
}
