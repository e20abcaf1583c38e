package org.buckthornhub.standin.network

import org.buckthornhub.standin.fault.Faults

/** Request from [zone] to an instance in z1 with [faults]; [answeredAtMillis] is null if no answer is expected. */
internal data class GateCase(
    val name: String,
    val faults: Faults = Faults(),
    val zone: String? = null,
    val answeredAtMillis: Long? = 0,
) {
    override fun toString(): String = name
}
