package org.buckthornhub.connection

/** @property isFull true if the target takes no more connections */
public data class TargetConnectFailure(
    val isFull: Boolean,
    val detail: String,
)
