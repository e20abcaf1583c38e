package org.buckthornhub.load.check

import org.buckthornhub.load.history.Attempt

/** A history, and what is measured from it. */
internal data class MeasureCase(
    val name: String,
    val attempts: List<Attempt>,
    val killedMillis: Long? = null,
    val gapMillis: Long? = null,
    val worstShare: Double = 1.0,
) {
    override fun toString(): String = name
}
