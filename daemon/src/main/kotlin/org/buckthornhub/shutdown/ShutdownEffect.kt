package org.buckthornhub.shutdown

/** What the task that stops the daemon has to do. */
public sealed interface ShutdownEffect {
    /** Run the steps that go before the last request: leases, ownership, membership. */
    public data object HandOverEarly : ShutdownEffect

    /** Run the steps that go after the last request: tokens. */
    public data object HandOverLate : ShutdownEffect

    /** Let the process end. */
    public data object Stop : ShutdownEffect
}
