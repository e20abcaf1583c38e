package org.buckthornhub.instancepool.waiting

/** A kind of request of the simulated load: its usual rate, its work at the instance, and how long its callers wait. */
internal data class RequestKind(
    val perSecond: Double,
    val workMillis: Double,
    val objectiveMillis: Long,
    val deadlineMillis: Long,
    val priority: Int,
    val needsPrimary: Boolean = false,
    val transactionPart: Double = 0.0,
)
