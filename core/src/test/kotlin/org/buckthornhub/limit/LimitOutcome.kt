package org.buckthornhub.limit

/**
 * Outcome of a run for one organisation.
 *
 * @property overAdmitted admissions that an exact single bucket would not have allowed
 * @property refusedByExact arrivals that an exact single bucket would have refused
 */
internal data class LimitOutcome(
    val arrived: Int = 0,
    val admitted: Int = 0,
    val refused: Int = 0,
    val overAdmitted: Int = 0,
    val refusedByExact: Int = 0,
) {
    /** Number of refusals beyond those of the exact bucket. */
    val wrongful: Int get() = (refused - refusedByExact).coerceAtLeast(0)
}
