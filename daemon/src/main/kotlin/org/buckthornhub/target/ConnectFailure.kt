package org.buckthornhub.target

/**
 * Reason why a connection to a target could not be opened.
 *
 * @property isRefused true if the target is reachable but has no free slot
 */
internal data class ConnectFailure(
    val isRefused: Boolean,
    val detail: String,
)
