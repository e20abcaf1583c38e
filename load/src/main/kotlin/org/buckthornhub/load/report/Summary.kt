package org.buckthornhub.load.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The figures of a run, as the last line of `quickstart` and of `buckthornhub load --json` has them.
 *
 * @property failoverGapMillis null if no primary was killed
 * @property lostWrites null if no logs of targets were read; likewise [doubledWrites]
 */
@Serializable
public data class Summary(
    val statements: Int,
    val reads: Int,
    @SerialName("replica_reads") val replicaReads: Int,
    @SerialName("replica_share") val replicaShare: Double,
    @SerialName("failover_gap_ms") val failoverGapMillis: Long?,
    @SerialName("ryw_violations") val readYourWritesViolations: Int,
    @SerialName("lost_writes") val lostWrites: Int?,
    @SerialName("doubled_writes") val doubledWrites: Int?,
    @SerialName("wrongful_refusals") val wrongfulRefusals: Int,
    @SerialName("worst_organisation_share") val worstOrganisationShare: Double,
    @SerialName("p50_ms") val p50Millis: Long,
    @SerialName("p99_ms") val p99Millis: Long,
    val errors: Map<String, Int>,
) {
    /** This summary as one line of JSON that names every field. */
    public fun toLine(): String = lineJson.encodeToString(serializer(), this)

    private companion object {
        val lineJson = Json { encodeDefaults = true }
    }
}
