package org.buckthornhub.shutdown

/** Phase of a graceful shutdown. */
public enum class ShutdownPhase {
    SERVING,

    /** Readiness is down, the early handover runs, and requests that still arrive are served. */
    LEAVING,

    /** Waits for in-flight requests. */
    DRAINING,

    /** Runs the late handover, which releases resources that only requests needed. */
    HANDING_OVER,
    STOPPED,
}
