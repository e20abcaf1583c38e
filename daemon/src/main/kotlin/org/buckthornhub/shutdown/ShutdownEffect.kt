package org.buckthornhub.shutdown

/** Effects requested by [ShutdownDecider]. */
public sealed interface ShutdownEffect {
    /** Runs the handover steps that precede the last request: leases, ownership, membership. */
    public data object HandOverEarly : ShutdownEffect

    /** Runs the handover steps that follow the last request: tokens. */
    public data object HandOverLate : ShutdownEffect

    /** Lets the process exit. */
    public data object Stop : ShutdownEffect
}
