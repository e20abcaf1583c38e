package org.buckthornhub.shutdown

/**
 * Times of a planned stop, all in ms.
 *
 * @property leaveMillis from readiness going down until the balancer has surely moved the callers
 * @property drainMillis most time for requests in flight after that
 * @property handoverMillis most time for each stage of handing over
 */
public data class ShutdownTiming(
    val leaveMillis: Long = 3_000,
    val drainMillis: Long = 10_000,
    val handoverMillis: Long = 3_000,
)
