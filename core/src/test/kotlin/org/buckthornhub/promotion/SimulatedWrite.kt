package org.buckthornhub.promotion

import org.buckthornhub.group.Term

/** Write of a daemon under its lease. */
internal data class SimulatedWrite(
    val term: Term,
    val position: Long,
)
