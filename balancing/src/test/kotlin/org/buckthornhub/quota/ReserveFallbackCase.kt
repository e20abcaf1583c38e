package org.buckthornhub.quota

/**
 * An answer of the reserve, and what a daemon with two fallback tokens admits of three operations that follow at once.
 *
 * @property tokens tokens that the reserve granted for the first operation; null if it could not be reached
 */
internal data class ReserveFallbackCase(
    val name: String,
    val tokens: Int?,
    val admitted: Int,
) {
    override fun toString(): String = name
}
