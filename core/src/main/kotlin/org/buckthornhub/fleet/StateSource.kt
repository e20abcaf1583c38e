package org.buckthornhub.fleet

/** Source of the latest immutable state that a task has published. */
public fun interface StateSource<out T> {
    /** Returns the latest published state. */
    public fun current(): T
}
