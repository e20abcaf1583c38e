package org.buckthornhub.instancepool.waiting

/**
 * Result of a simulated load. Ordinary organisations are all but the one that floods.
 *
 * @property refused refused attempts of ordinary organisations
 * @property failed requests of ordinary organisations that were not served before their deadline
 * @property late requests of ordinary organisations that were served after their objective
 * @property waitMillis by priority, the 95th percentile of the wait for a connection in ordinary organisations
 * @property refusedBegun refused attempts of transactions that had begun, of all organisations
 * @property wasted attempts that waited and were then refused, of all organisations
 * @property wastedMillis how long they waited in total
 * @property longestSilenceMillis by priority, the longest time in which statements waited and none was served
 */
internal data class WaitingOutcome(
    val asked: Int = 0,
    val refused: Int = 0,
    val failed: Int = 0,
    val late: Int = 0,
    val waitMillis: Map<Int, Long> = emptyMap(),
    val refusedBegun: Int = 0,
    val wasted: Int = 0,
    val wastedMillis: Long = 0,
    val longestSilenceMillis: Map<Int, Long> = emptyMap(),
) {
    /** Requests of ordinary organisations that missed their objective. */
    val missed: Int get() = failed + late
}
