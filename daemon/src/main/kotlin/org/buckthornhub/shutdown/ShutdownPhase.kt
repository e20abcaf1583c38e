package org.buckthornhub.shutdown

/** Where a planned stop stands. */
public enum class ShutdownPhase {
    SERVING,

    /** Readiness is down; the first handover runs, and requests that still arrive are served. */
    LEAVING,

    /** Waits for requests in flight. */
    DRAINING,

    /** Gives back what only requests needed. */
    HANDING_OVER,
    STOPPED,
}
