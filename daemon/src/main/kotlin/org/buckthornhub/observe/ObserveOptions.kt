package org.buckthornhub.observe

/**
 * What the daemon shows.
 *
 * @property operatorSecret guards the operators' interface; null refuses everyone
 * @property maxOrganisations organisations and groups with metric labels of their own
 * @property traceFile where spans go; null for nowhere
 * @property explainRecords requests that explain remembers; 0 turns it off
 */
public data class ObserveOptions(
    val operatorSecret: String? = null,
    val maxOrganisations: Int = 100,
    val traceFile: String? = null,
    val samplePercent: Int = 1,
    val explainRecords: Int = 2_000,
) {
    override fun toString(): String = "ObserveOptions(secret hidden, explainRecords=$explainRecords)"
}
