package org.buckthornhub.clock

/** Source of time in milliseconds. Deciders do not use it; they get `nowMillis` as an argument. */
public interface Clock {
    /** Returns the monotonic time in ms; its origin has no meaning outside this process. */
    public fun nowMillis(): Long

    /** Returns the wall-clock time in ms since 1970-01-01 UTC, for output to people and to detect a suspended VM. */
    public fun wallMillis(): Long
}
