package org.buckthornhub.http

/**
 * @property sentBytes of a body that is announced with [bodyBytes]
 * @property status of the answer; null if the connection is closed without one
 */
internal data class GuardCase(
    val name: String,
    val bodyBytes: Int,
    val sentBytes: Int,
    val status: Int?,
) {
    override fun toString(): String = name
}
