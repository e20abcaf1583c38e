package org.buckthornhub.lease

/**
 * Intervals and timeouts of the probes of owned targets.
 *
 * @property probeMillis time between two probes
 * @property timeoutMillis time after which a probe without an answer has failed
 * @property detectMillis time without an answer after which a target is reported as unreachable
 */
public data class HealthSettings(
    val probeMillis: Long = 200,
    val timeoutMillis: Long = 400,
    val detectMillis: Long = 1_000,
)
