package org.buckthornhub.shutdown

/**
 * Time limits of a graceful shutdown, all in ms.
 *
 * @property leaveMillis time from readiness going down until the load balancer has moved every caller
 * @property drainMillis time limit for in-flight requests after that
 * @property handoverMillis time limit for the early and for the late handover
 */
public data class ShutdownTiming(
    val leaveMillis: Long = 3_000,
    val drainMillis: Long = 10_000,
    val handoverMillis: Long = 3_000,
)
