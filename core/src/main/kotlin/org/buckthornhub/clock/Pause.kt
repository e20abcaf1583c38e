package org.buckthornhub.clock

/** Lets some time pass without holding a thread; tests let it pass at once. */
public fun interface Pause {
    public suspend fun pause(millis: Long)
}
