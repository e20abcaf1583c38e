package org.buckthornhub.lease

/**
 * Times of the probes of owned targets.
 *
 * @property probeMillis period of the probes
 * @property timeoutMillis a probe without an answer for so long has failed
 * @property detectMillis a target that has not answered for so long counts as unreachable
 */
public data class HealthSettings(
    val probeMillis: Long = 200,
    val timeoutMillis: Long = 400,
    val detectMillis: Long = 1_000,
)
