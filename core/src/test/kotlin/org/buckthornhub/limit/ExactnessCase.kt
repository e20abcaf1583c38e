package org.buckthornhub.limit

/** A kind of trouble through which limits have to stay exact. */
internal data class ExactnessCase(
    val name: String,
    val faults: FaultPlan,
    val seeds: Int = 20,
) {
    override fun toString(): String = name
}
