package org.buckthornhub.standin.network

import org.buckthornhub.standin.fault.Faults

/** A request from [zone] to an instance in z1 with [faults]; [answeredAtMillis] is null if it gets no answer. */
internal data class GateCase(
    val name: String,
    val faults: Faults = Faults(),
    val zone: String? = null,
    val answeredAtMillis: Long? = 0,
) {
    override fun toString(): String = name
}
