package org.buckthornhub.suspension

import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornhub.clock.Clock

/**
 * Notices that this VM stood still while its monotonic clock did not count.
 *
 * The calendar goes on meanwhile, so it runs ahead. A calendar that is set forward looks the same, and is taken for a
 * suspension as well.
 */
internal class SuspensionWatch(private val clock: Clock) {
    private val aheadMillis = MutableStateFlow(ahead())

    /** True if the VM has stood still since the last [look]. */
    fun isDue(): Boolean = ahead() - aheadMillis.value > NOTABLE_MILLIS

    /** [isDue], and begins anew. */
    fun look(): Boolean = isDue().also { aheadMillis.value = ahead() }

    private fun ahead(): Long = clock.wallMillis() - clock.nowMillis()

    private companion object {
        /** Calendars are corrected by less than this between two looks; a shorter pause makes no proof too old. In ms. */
        const val NOTABLE_MILLIS = 200L
    }
}
