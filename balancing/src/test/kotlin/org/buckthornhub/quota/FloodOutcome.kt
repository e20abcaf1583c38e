package org.buckthornhub.quota

/**
 * Outcome of a replayed flood.
 *
 * @property admittedMillis times of the admitted operations, less those that were refunded
 * @property wrongfulMillis times of the refusals while an exact bucket, charged with all that was admitted, held a token
 * @property announced times of the refusals, with the announced times to return
 * @property failed operations whose callers gave up
 * @property lost tokens that were issued to daemons and neither spent nor returned
 */
internal data class FloodOutcome(
    val admittedMillis: List<Long>,
    val wrongfulMillis: List<Long>,
    val announced: List<Pair<Long, Long>>,
    val failed: Int,
    val issued: Int,
    val returned: Int,
    val lost: Int,
) {
    fun maxInWindow(millis: Long): Int = LimitSplitOutcome(admittedMillis, 0, 0).maxInWindow(millis)

    /** Median announced time of the refusals in the second that begins at [fromMillis]. */
    fun medianAnnounced(fromMillis: Long): Long? =
        announced.filter { it.first - fromMillis in 0..999 }.map { it.second }.sorted().let { it.getOrNull(it.size / 2) }
}
