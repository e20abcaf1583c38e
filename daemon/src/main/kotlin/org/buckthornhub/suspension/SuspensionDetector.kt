package org.buckthornhub.suspension

import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock

/**
 * Detects that this VM was suspended while its monotonic clock stopped.
 *
 * The wall clock continues meanwhile, so its offset to the monotonic clock grows. A wall clock that is set forward looks the same
 * and counts as a suspension too.
 */
internal class SuspensionDetector(private val clock: Clock) {
    private val lastOffsetMillis = MutableStateFlow(clockOffsetMillis())

    /** Returns whether the VM was suspended since the last [checkAndReset]. */
    fun wasSuspended(): Boolean = clockOffsetMillis() - lastOffsetMillis.value > MIN_SUSPENSION_MILLIS

    /** Returns [wasSuspended] and resets the detector. */
    fun checkAndReset(): Boolean = wasSuspended().also { lastOffsetMillis.value = clockOffsetMillis() }

    private fun clockOffsetMillis(): Long = clock.wallMillis() - clock.nowMillis()

    private companion object {
        /** Corrections of the wall clock between two checks are smaller, and a shorter suspension makes no confirmation too old; in ms. */
        const val MIN_SUSPENSION_MILLIS = 200L
    }
}
