package org.buckthornhub.limit

/** Faults under which the rate limit must stay exact. */
internal data class ExactnessCase(
    val name: String,
    val faults: FaultPlan,
    val seeds: Int = 20,
) {
    override fun toString(): String = name
}
