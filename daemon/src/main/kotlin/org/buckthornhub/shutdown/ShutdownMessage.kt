package org.buckthornhub.shutdown

/** Messages handled by [ShutdownTask]. */
public sealed interface ShutdownMessage {
    /** The process received a stop signal. */
    public data object Begin : ShutdownMessage

    /** A request arrived. */
    public data object RequestStarted : ShutdownMessage

    /** A request was answered. */
    public data object RequestEnded : ShutdownMessage

    /** The early handover is complete or timed out. */
    public data object EarlyHandoverEnded : ShutdownMessage

    /** The late handover is complete or timed out. */
    public data object LateHandoverEnded : ShutdownMessage

    /** Periodic check of the time limits. */
    public data object Tick : ShutdownMessage
}
