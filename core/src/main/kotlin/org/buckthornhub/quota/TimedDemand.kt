package org.buckthornhub.quota

/** A demand report with the local monotonic time of its arrival. */
public data class TimedDemand(
    val report: DemandReport,
    val atMillis: Long,
)
