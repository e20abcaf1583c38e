package org.buckthornhub.shutdown

/**
 * State of a graceful shutdown.
 *
 * @property sinceMillis start of [phase], local monotonic time in ms
 * @property inFlight requests that are being served
 * @property isEarlyHandoverDone true once the early handover is complete or timed out
 */
public data class ShutdownState(
    val phase: ShutdownPhase = ShutdownPhase.SERVING,
    val sinceMillis: Long = 0,
    val inFlight: Int = 0,
    val isEarlyHandoverDone: Boolean = false,
) {
    /** Readiness as reported to the load balancer. */
    val isReady: Boolean get() = phase == ShutdownPhase.SERVING
}
