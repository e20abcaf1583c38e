package org.buckthornhub.connection

import org.buckthornhub.error.ErrorKind

/**
 * A caller with one key, on whose behalf work began, and what the newest route table says of that key.
 *
 * @property organisation that the work began for; `-` for none
 * @property holder of the key now; null if nobody holds it
 * @property isAnonymous whether the route needs no key now; null if the route is gone
 * @property admitted organisation that a new statement would run for; null if it is refused
 * @property inTransaction expected refusal of the next statement of the transaction; null if it may run
 * @property afterWait expected refusal of a statement that was admitted for [organisation] and waited; null if it may run
 */
internal data class AdmissionCase(
    val name: String,
    val organisation: String,
    val holder: String?,
    val isAnonymous: Boolean?,
    val admitted: String?,
    val inTransaction: ErrorKind?,
    val afterWait: ErrorKind?,
) {
    override fun toString(): String = name
}
