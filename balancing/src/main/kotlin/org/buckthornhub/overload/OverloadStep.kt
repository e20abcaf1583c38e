package org.buckthornhub.overload

/**
 * Result of a decision.
 *
 * @property closed connections to close; those of the request itself are not among them if it was not accepted
 * @property isAccepted whether what was asked for is allowed
 */
public data class OverloadStep(
    val state: OverloadState,
    val closed: List<GuardedId> = emptyList(),
    val isAccepted: Boolean = true,
)
