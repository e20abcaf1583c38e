package org.buckthornhub.clock

/** The clock of this process. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
