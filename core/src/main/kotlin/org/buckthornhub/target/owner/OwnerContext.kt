package org.buckthornhub.target.owner

import org.buckthornhub.group.History
import org.buckthornhub.group.Term

/** Input that all steps of one decision share. */
internal data class OwnerContext(
    val nowMillis: Long,
    val leaseTerm: Term?,
    val newWriteTerm: Term?,
    val history: History,
    val limits: OwnerLimits,
)
