package org.buckthornhub.instancepool

/**
 * Statements of a simulated fleet within the time that counts.
 *
 * @property busy statements and connections that instances refused as their queue was full
 * @property failed attempts that failed at an instance
 * @property lost statements that were not served
 * @property crossZone share of reads that left their zone
 * @property returned share of reads that left their zone in the last seconds of the simulation
 * @property leavingTo reads that left their zone, by instance
 */
internal data class FleetOutcome(
    val meanMillis: Double,
    val p95Millis: Double,
    val busy: Int,
    val failed: Int,
    val lost: Int,
    val crossZone: Double,
    val returned: Double,
    val leavingTo: Map<String, Int>,
) {
    /** Returns the largest share of the reads of [group] that left their zone for one instance. */
    fun herdAt(group: String): Double =
        leavingTo.filterKeys { it.startsWith(group) }.values.let { (it.maxOrNull() ?: 0).toDouble() / it.sum().coerceAtLeast(1) }

    override fun toString(): String = "mean %.1f ms, p95 %.1f ms, BUSY %d, failed %d, lost %d, cross-zone %.3f, at the end %.3f, herd %.2f"
        .format(meanMillis, p95Millis, busy, failed, lost, crossZone, returned, herdAt("g0"))
}
