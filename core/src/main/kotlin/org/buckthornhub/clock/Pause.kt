package org.buckthornhub.clock

/** Suspends the coroutine for some time, without blocking a thread; tests replace it to skip the wait. */
public fun interface Pause {
    public suspend fun pause(millis: Long)
}
