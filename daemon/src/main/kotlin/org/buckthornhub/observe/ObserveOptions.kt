package org.buckthornhub.observe

/**
 * What the daemon shows.
 *
 * @property maxOrganisations organisations and groups with metric labels of their own
 * @property traceFile where spans go; null for nowhere
 * @property explainRecords requests that explain remembers; 0 turns it off
 */
public data class ObserveOptions(
    val maxOrganisations: Int = 100,
    val traceFile: String? = null,
    val samplePercent: Int = 1,
    val explainRecords: Int = 2_000,
)
