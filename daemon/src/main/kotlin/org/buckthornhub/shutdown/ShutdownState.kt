package org.buckthornhub.shutdown

/**
 * A daemon on its way out.
 *
 * @property sinceMillis when [phase] began, local monotonic time
 * @property inFlight requests that are being served
 * @property isEarlyHandoverDone true once the steps that go before the last request are done
 */
public data class ShutdownState(
    val phase: ShutdownPhase = ShutdownPhase.SERVING,
    val sinceMillis: Long = 0,
    val inFlight: Int = 0,
    val isEarlyHandoverDone: Boolean = false,
) {
    /** What the balancer is told. */
    val isReady: Boolean get() = phase == ShutdownPhase.SERVING
}
