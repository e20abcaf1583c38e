package org.buckthornhub.clock

/** [Clock] that reads the monotonic and wall clocks of the system. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
