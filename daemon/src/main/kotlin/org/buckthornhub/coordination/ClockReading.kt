package org.buckthornhub.coordination

import org.buckthornhub.clock.Clock

/**
 * A time on both clocks of a daemon, such as the time at which a majority of the control quorum confirmed its state.
 *
 * The monotonic clock may stop while a VM is suspended, and the wall clock may be set back, so the age is the larger of the two.
 */
internal data class ClockReading(
    val monotonicMillis: Long,
    val wallMillis: Long,
) {
    fun ageMillis(nowMillis: Long, nowWallMillis: Long): Long = maxOf(nowMillis - monotonicMillis, nowWallMillis - wallMillis)

    companion object {
        fun of(clock: Clock): ClockReading = ClockReading(clock.nowMillis(), clock.wallMillis())
    }
}
