package org.buckthornhub.quota

/**
 * Outcome of one simulation.
 *
 * @property admittedMillis times of the admitted operations, in order
 * @property refusedBySingleBucket operations that a single bucket for the whole fleet would have refused
 */
internal data class LimitSplitOutcome(
    val admittedMillis: List<Long>,
    val refused: Int,
    val refusedBySingleBucket: Int,
) {
    /** Refusals beyond those due to the limit itself, in % of the operations. */
    val wrongfulRefusalPercent: Double
        get() = 100.0 * (refused - refusedBySingleBucket) / (refused + admittedMillis.size)

    /** Returns the maximum number of admitted operations in any window of [millis]. */
    fun maxInWindow(millis: Long): Int {
        var first = 0
        return admittedMillis.indices.maxOfOrNull { last ->
            while (admittedMillis[first] < admittedMillis[last] - millis) first += 1
            last - first + 1
        } ?: 0
    }
}
