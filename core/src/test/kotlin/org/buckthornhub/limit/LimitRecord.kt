package org.buckthornhub.limit

/**
 * What came out for one organisation.
 *
 * @property overAdmitted admissions that an exact single bucket did not allow
 * @property refusedByExact arrivals that an exact single bucket refuses by itself
 */
internal data class LimitRecord(
    val arrived: Int = 0,
    val admitted: Int = 0,
    val refused: Int = 0,
    val overAdmitted: Int = 0,
    val refusedByExact: Int = 0,
) {
    /** Refusals beyond those of the exact bucket. */
    val wrongful: Int get() = (refused - refusedByExact).coerceAtLeast(0)
}
