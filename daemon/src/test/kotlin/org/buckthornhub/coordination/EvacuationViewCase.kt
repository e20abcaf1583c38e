package org.buckthornhub.coordination

import org.buckthornhub.control.Evacuations

/**
 * A reply to a report that was sent at 10 s by a daemon whose state was confirmed at 9 s, and what the daemon knows then.
 *
 * @property known evacuations that the daemon knew before; their orders count from 2 s
 * @property sinceMillis the time from which the order to evacuate zone a counts; null if it is not known
 * @property confirmedMillis the time at which the daemon's state was confirmed
 */
internal class EvacuationViewCase(
    private val name: String,
    val known: Evacuations,
    val reply: ProxyReportAnswer,
    val sinceMillis: Long?,
    val confirmedMillis: Long?,
    val isConfirmedBefore: Boolean = true,
) {
    override fun toString(): String = name
}
