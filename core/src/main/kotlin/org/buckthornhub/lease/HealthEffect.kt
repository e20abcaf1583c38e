package org.buckthornhub.lease

import org.buckthornhub.target.TargetEntry

/** Effects that [HealthDecider] requests from its task. */
public sealed interface HealthEffect {
    /** Requests the status of [entry]. */
    public data class Ask(val entry: TargetEntry) : HealthEffect
}
