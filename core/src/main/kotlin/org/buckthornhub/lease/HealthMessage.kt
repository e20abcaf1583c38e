package org.buckthornhub.lease

import org.buckthornhub.target.TargetEntry

/** Messages handled by [HealthDecider]. */
public sealed interface HealthMessage {
    /** Starts a round of probes of [owned], the targets that this daemon currently owns. */
    public data class Probe(val owned: List<TargetEntry>) : HealthMessage

    /** Answer of a target to a probe. */
    public data class Answered(val entry: TargetEntry) : HealthMessage
}
