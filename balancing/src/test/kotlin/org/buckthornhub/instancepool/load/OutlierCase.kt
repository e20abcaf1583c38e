package org.buckthornhub.instancepool.load

/**
 * Statements at an instance and whether it is ejected.
 *
 * @property statements one character each: `.` served, `F` failed; one statement a second
 * @property peerShare share of statements that fail at its peers
 */
internal data class OutlierCase(
    val name: String,
    val statements: String,
    val isEjected: Boolean,
    val peerShare: Double = 0.0,
    val isLast: Boolean = false,
) {
    override fun toString(): String = name
}
