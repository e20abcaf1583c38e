package org.buckthornhub.fleet

/** Gives the newest immutable state that a task has published. */
public fun interface StateSource<out T> {
    public fun current(): T
}
