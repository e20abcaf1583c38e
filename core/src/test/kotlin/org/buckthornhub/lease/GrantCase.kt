package org.buckthornhub.lease

/** Claim to a control leader elected at 0 ms, with leases of 1,000 ms and 10 % drift, and whether it is granted. */
internal data class GrantCase(
    val name: String,
    val isGranted: Boolean,
    val confirmedFromMillis: Long,
    val isHeld: Boolean = false,
    val before: (GrantTable) -> GrantTable = { it },
) {
    override fun toString(): String = name
}
