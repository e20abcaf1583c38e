package org.buckthornhub.coordination

/**
 * How a control leader runs its reserve.
 *
 * @property adaptsToLoad whether announced times stay within what callers can use, and a VM that may not lead says so
 * @property isFirstStart true only if no quorum has ever been bootstrapped
 * @property electionMillis shortest election timeout of the quorum
 */
internal data class ReservePolicy(
    val adaptsToLoad: Boolean = false,
    val isFirstStart: Boolean = false,
    val electionMillis: Long = 0,
)
