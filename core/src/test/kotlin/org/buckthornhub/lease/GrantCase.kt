package org.buckthornhub.lease

/** Whether a claim is granted by a control leader that was elected at 0 ms, with leases of 1,000 ms and 10 % drift. */
internal data class GrantCase(
    val name: String,
    val isGranted: Boolean,
    val confirmedFromMillis: Long,
    val isHeld: Boolean = false,
    val before: (GrantTable) -> GrantTable = { it },
) {
    override fun toString(): String = name
}
