package org.buckthornhub.shutdown

/** What the task that stops the daemon is told. */
public sealed interface ShutdownMessage {
    /** The platform wants this process to stop. */
    public data object Begin : ShutdownMessage

    /** A request came in. */
    public data object RequestStarted : ShutdownMessage

    /** A request was answered. */
    public data object RequestEnded : ShutdownMessage

    /** The steps before the last request are done or given up. */
    public data object EarlyHandoverEnded : ShutdownMessage

    /** The steps after the last request are done or given up. */
    public data object LateHandoverEnded : ShutdownMessage

    /** Time has passed. */
    public data object Tick : ShutdownMessage
}
