package org.buckthornhub.lease

import org.buckthornhub.target.TargetEntry

/** What the task that probes owned targets is told. */
public sealed interface HealthMessage {
    /** Time to probe; [owned] are the targets that this daemon owns now. */
    public data class Probe(val owned: List<TargetEntry>) : HealthMessage

    /** A target has answered. */
    public data class Answered(val entry: TargetEntry) : HealthMessage
}
