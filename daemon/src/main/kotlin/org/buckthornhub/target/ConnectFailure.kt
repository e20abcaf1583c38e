package org.buckthornhub.target

/**
 * Why a connection to a target could not be opened.
 *
 * @property isRefused true if the target is there but has no free slot
 */
internal data class ConnectFailure(
    val isRefused: Boolean,
    val detail: String,
)
