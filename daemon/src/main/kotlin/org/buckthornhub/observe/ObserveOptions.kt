package org.buckthornhub.observe

/**
 * Observability options of the daemon.
 *
 * @property maxOrganisations number of organisations, and of groups, with a metric label of their own
 * @property traceFile file that spans are appended to; null if none are written
 * @property samplePercent share of requests whose spans are written, in percent, unless the caller's trace decides
 * @property explainRecords number of requests that explain keeps; 0 turns it off
 */
public data class ObserveOptions(
    val maxOrganisations: Int = 100,
    val traceFile: String? = null,
    val samplePercent: Int = 1,
    val explainRecords: Int = 2_000,
)
