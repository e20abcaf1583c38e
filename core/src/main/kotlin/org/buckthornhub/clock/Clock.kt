package org.buckthornhub.clock

/** The only source of time, in milliseconds. Deciders get `nowMillis` as an argument and never hold a clock. */
public interface Clock {
    /** Monotonic time of this process in ms; its zero means nothing outside the process. */
    public fun nowMillis(): Long

    /** Calendar time in ms since 1970-01-01 UTC: for what people read, and to notice that a VM was suspended. */
    public fun wallMillis(): Long
}
