package org.buckthornhub.limit

/**
 * What came out for one organisation.
 *
 * @property overAdmitted admissions that an exact single bucket did not allow
 * @property wrongful refusals at a time at which an exact bucket, charged with the same admissions, held a token
 */
internal data class LimitRecord(
    val arrived: Int = 0,
    val admitted: Int = 0,
    val refused: Int = 0,
    val overAdmitted: Int = 0,
    val wrongful: Int = 0,
)
