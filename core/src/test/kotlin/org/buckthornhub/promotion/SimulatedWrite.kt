package org.buckthornhub.promotion

import org.buckthornhub.group.Term

/** A write that was acknowledged to its caller. */
internal data class SimulatedWrite(
    val term: Term,
    val position: Long,
)
